"""HTTP/1.1 connections with strict parsing, to callers and backend servers."""

from .responses import BackendResponse, ResponseError, RequestNotSent
from .backend import BackendConnection
from .body import Body
from .caller import CallerConnection
from .request import CallerRequest, Limits
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
