"""Request path between callers and backend servers."""

from .dispatcher import Dispatcher
from .front import CallerFront

__all__ = ('CallerFront', 'Dispatcher')
