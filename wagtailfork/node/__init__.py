"""The entry VM's process, assembled from its parts."""

from .entry import EntryNode

__all__ = ('EntryNode',)
