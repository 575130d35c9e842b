"""HTTP/1.1 connections with strict parsing, to callers and backend servers."""

from .answers import Answer, AnswerFailed, NothingSent
from .backend import BackendConnection
from .body import Body
from .caller import CallerConnection
from .request import CallerRequest, Limits
from .server import CallerServer

__all__ = (
    'Answer',
    'AnswerFailed',
    'BackendConnection',
    'Body',
    'CallerConnection',
    'CallerRequest',
    'CallerServer',
    'Limits',
    'NothingSent',
)
