"""Request path between callers and backend servers."""

from .dispatcher import Dispatcher
from .app import ProxyApp

__all__ = ('ProxyApp', 'Dispatcher')
