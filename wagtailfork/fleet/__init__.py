"""How the entry VMs of a fleet know of each other and share what they know."""

from .members import Member, Membership

__all__ = ('Member', 'Membership')
