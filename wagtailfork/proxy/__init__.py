"""Request path between callers and backend servers."""

from .dispatcher import Dispatcher
from .front import ProxyApp

__all__ = ('ProxyApp', 'Dispatcher')
