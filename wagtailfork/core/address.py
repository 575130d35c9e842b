"""Parsing of IP addresses with a port in settings and messages."""

import ipaddress
from typing import Final

from .errors import WagtailforkError
from .results import ResultCode

_MAX_PORT: Final = 65535


def split_address(text: str) -> tuple[str, int]:
    """Split ``ip:port`` or raise ``settings_invalid``.

    >>> split_address('127.0.0.1:80')
    ('127.0.0.1', 80)
    >>> split_address('[::1]:80')
    ('::1', 80)
    """
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(host)
    except ValueError as exc:
        raise WagtailforkError(ResultCode.settings_invalid, text) from exc
    if not port.isdecimal() or int(port) > _MAX_PORT:
        raise WagtailforkError(ResultCode.settings_invalid, text)
    return host, int(port)
