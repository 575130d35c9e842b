"""Request path between callers and backend servers."""

from .app import ProxyApp
from .dispatcher import Dispatcher

__all__ = ('ProxyApp', 'Dispatcher')
