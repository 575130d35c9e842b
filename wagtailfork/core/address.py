"""Parsing of IP addresses with a port in settings, entries and messages."""

import ipaddress
from typing import Any, Final

from .errors import WagtailforkError
from .results import ResultCode

_MAX_PORT: Final = 65535
_MAX_PORT_DIGITS: Final = 5  # int() raises another error for thousands


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
    is_number = port.isdecimal() and len(port) <= _MAX_PORT_DIGITS
    if not is_number or int(port) > _MAX_PORT:
        raise WagtailforkError(ResultCode.settings_invalid, text)
    return host, int(port)


def is_address(found: Any) -> bool:
    """Return whether a connection can be opened to ``ip:port``.

    >>> is_address('10.0.0.1:80'), is_address('10.0.0.1:99999')
    (True, False)
    >>> is_address('example:80'), is_address('10.0.0.1:0'), is_address(5)
    (False, False, False)
    >>> is_address('10.0.0.1:' + '9' * 5000)
    False
    """
    if not isinstance(found, str) or not found.isascii() or '[' in found:
        return False
    try:
        return split_address(found)[1] > 0
    except WagtailforkError:
        return False
