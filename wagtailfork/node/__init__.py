"""The process of an entry VM."""

from .entry import EntryNode

__all__ = ('EntryNode',)
