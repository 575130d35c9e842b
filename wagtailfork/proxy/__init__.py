"""The path of a request from its caller to a backend server and back."""

from .dispatcher import Dispatcher
from .front import CallerFront

__all__ = ('CallerFront', 'Dispatcher')
