"""Typed messages and links between entry VMs."""

from .codec import Frame, decode_frame, encode_frame
from .link import PeerLink
from .mesh import Mesh

__all__ = ('Frame', 'Mesh', 'PeerLink', 'decode_frame', 'encode_frame')
