"""Decode the documents of operators and backend servers in the store."""

import json
import math
import reprlib
from typing import Any, Final

from ..core.address import is_address
from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..gateway.model import BackendServer, Configuration
from ..http1.request import Limits
from ..routing.routes import RequestKind, Route, RouteTable, ServiceRule

_MS_PER_S: Final = 1000
_MAX_ERROR_CHARS: Final = 120
_KINDS: Final = {
    'safe': RequestKind.safe,
    'unsafe': RequestKind.once,
    'upload': RequestKind.upload,
}
# A larger number cannot be a count, a time or a size.
_MAX_NUMBER: Final = 1000000000000000
_MAX_SLOTS: Final = 100000
_MAX_WARM_UP_MS: Final = 86400000  # a day
_READY: Final = 'ready'
_DRAINING: Final = 'draining'


_BRIEF: Final = reprlib.Repr()  # bounds depth and size of what it renders
_BRIEF.maxother = _MAX_ERROR_CHARS
_BRIEF.maxstring = _MAX_ERROR_CHARS


def _malformed(what: str, found: Any) -> WagtailforkError:
    return WagtailforkError(
        ResultCode.record_malformed,
        f'{what}: {_BRIEF.repr(found)}'[:_MAX_ERROR_CHARS],
    )


def _reject_constant(text: str) -> float:
    raise ValueError(f'{text} is not a JSON number')


def _parse_finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f'{text} is too large')
    return number


def _parse_object(raw: bytes) -> dict[str, Any]:
    try:
        document = json.loads(
            raw, parse_constant=_reject_constant, parse_float=_parse_finite
        )
    except (ValueError, RecursionError) as exc:
        raise _malformed('invalid JSON', raw) from exc
    if not isinstance(document, dict):
        raise _malformed('not a JSON object', document)
    return document


def decode_configuration(raw: bytes) -> Configuration:
    """Decode a configuration; raise ``record_malformed``."""
    document = _parse_object(raw)
    try:
        return _read_configuration(document)
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as exc:
        raise _malformed('configuration', exc) from exc


def _read_configuration(document: dict[str, Any]) -> Configuration:
    routes = {
        name: _read_route(name, fields)
        for name, fields in document['routes'].items()
    }
    services = {
        name: _read_service(name, fields)
        for name, fields in document['services'].items()
    }
    return Configuration(
        version=_require_number(document, 'version'),
        routes=routes,
        services=services,
        limits=_read_limits(document.get('limits') or {}),
        table=RouteTable(routes.values()),
    )


def _read_route(name: str, fields: dict[str, Any]) -> Route:
    timeout_ms = _optional_number(fields, 'timeoutMs')
    # The default objective is 1 s.
    objective_ms = _optional_number(fields, 'targetLatencyMs') or _MS_PER_S
    return Route(
        name=name,
        host=_require_text(fields, 'host'),
        prefix=_require_text(fields, 'pathPrefix'),
        kind=_KINDS.get(fields.get('type', ''), RequestKind.once),
        weighted_services=_read_weighted_services(fields),
        timeout_s=timeout_ms / _MS_PER_S if timeout_ms else None,
        objective_s=objective_ms / _MS_PER_S,
        rank=int(fields.get('priority') or 0),
        max_attempts=max(1, int(fields.get('maxAttempts') or 1)),
    )


def _read_weighted_services(
    fields: dict[str, Any],
) -> tuple[tuple[str, float], ...]:
    backends = fields.get('backends')
    if not backends:
        return ((_require_text(fields, 'service'), 1.0),)
    services = [
        (_require_text(each, 'service'), float(each['weight']))
        for each in backends
    ]
    return tuple(each for each in services if each[1] > 0) or tuple(services)


def _read_service(name: str, fields: dict[str, Any]) -> ServiceRule:
    health_path = fields.get('healthPath') or '/health'
    if not isinstance(health_path, str) or not _is_target(health_path):
        raise _malformed('healthPath', health_path)
    return ServiceRule(
        name=name,
        health_path=health_path,
        max_connections=_optional_number(fields, 'maxConns'),
    )


def _read_limits(fields: dict[str, Any]) -> Limits:
    defaults = Limits()
    header_ms = _optional_number(fields, 'headerTimeoutMs')
    idle_ms = _optional_number(fields, 'idleTimeoutMs')
    return Limits(
        max_header_bytes=_optional_number(fields, 'maxHeaderBytes')
        or defaults.max_header_bytes,
        max_body_bytes=_optional_number(fields, 'maxBodyBytes')
        or defaults.max_body_bytes,
        header_timeout_s=header_ms / _MS_PER_S
        if header_ms
        else defaults.header_timeout_s,
        idle_timeout_s=idle_ms / _MS_PER_S
        if idle_ms
        else defaults.idle_timeout_s,
    )


def _require_text(fields: dict[str, Any], key: str) -> str:
    found = fields.get(key)
    if not isinstance(found, str) or not found or not found.isprintable():
        raise _malformed(key, found)
    return found


def _require_number(
    fields: dict[str, Any], key: str, maximum: int = _MAX_NUMBER
) -> int:
    found = fields.get(key)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise _malformed(key, found)
    if not 0 <= found <= maximum:
        raise _malformed(key, found)
    return int(found)


def _require_whole(fields: dict[str, Any], key: str) -> int:
    found = fields.get(key)
    if isinstance(found, float) and not found.is_integer():
        raise _malformed(key, found)
    return _require_number(fields, key)


def _optional_number(fields: dict[str, Any], key: str) -> int:
    """Return a number, 0 if it is missing or null."""
    if fields.get(key) is None:
        return 0
    return _require_number(fields, key)


def _is_target(text: str) -> bool:
    """Return whether a text can be the target of a request."""
    return text.startswith('/') and _is_header_text(text) and ' ' not in text


def _is_header_text(text: str) -> bool:
    """Return whether a text can stand in the head of a request."""
    return bool(text) and text.isascii() and text.isprintable()


def decode_server(name: str, raw: bytes) -> BackendServer:
    """Decode the entry of a backend server; raise ``record_malformed``.

    >>> decode_server('a', b'{"service": 5}')
    Traceback (most recent call last):
    ...
    wagtailfork.core.errors.WagtailforkError: code=5006 ...
    """
    # Requests name the server in a header.
    if not _is_header_text(name) or ' ' in name:
        raise _malformed('name', name)
    fields = _parse_object(raw)
    _require_text(fields, 'version')
    state = _require_text(fields, 'state')
    if state not in {_READY, _DRAINING}:
        raise _malformed('state', state)
    address = _require_text(fields, 'address')
    if not is_address(address):
        raise _malformed('address', address)
    return BackendServer(
        name=name,
        started_ms=_require_whole(fields, 'born'),
        service=_require_text(fields, 'service'),
        address=address,
        failure_domain=_require_text(fields, 'zone'),
        slots=max(1, _require_number(fields, 'capacity', _MAX_SLOTS)),
        draining=state == _DRAINING,
        warm_up_s=_require_number(fields, 'warmupLeftMs', _MAX_WARM_UP_MS)
        / _MS_PER_S,
        sequence=_require_whole(fields, 'seq'),
    )
