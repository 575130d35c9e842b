"""HTTP/1.1 connections with strict parsing, to callers and backend servers."""

from .backend import BackendConnection
from .body import Body
from .caller import CallerConnection
from .request import CallerRequest, Limits
from .responses import BackendResponse, RequestNotSent, ResponseError
from .server import CallerServer

__all__ = (
    'BackendResponse',
    'ResponseError',
    'BackendConnection',
    'Body',
    'CallerConnection',
    'CallerRequest',
    'CallerServer',
    'Limits',
    'RequestNotSent',
)
