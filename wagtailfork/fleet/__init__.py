"""Gossip membership and state exchange between the entry VMs of a fleet."""

from .member import Member
from .members import Membership

__all__ = ('Member', 'Membership')
