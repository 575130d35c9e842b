"""Decode the documents of operators and backend servers in the store."""

import json
import math
from typing import Any, Final

from ..core.address import is_address
from ..gateway.model import BackendServer, Configuration
from ..http1.request import Limits
from ..routing.routes import RequestKind, Route, RouteTable, ServiceRule
from .customers import read_customers
from .secret_json import parse_secret_object
from .fields import (
    is_header_text,
    is_target,
    malformed,
    optional_number,
    optional_rate,
    read_regions,
    require_number,
    require_text,
    require_whole,
)

_MS_PER_S: Final = 1000
_KINDS: Final = {
    'safe': RequestKind.safe,
    'unsafe': RequestKind.once,
    'upload': RequestKind.upload,
}
_MAX_SLOTS: Final = 100000
_MAX_WARM_UP_MS: Final = 86400000  # a day
NO_REGIONS: Final[frozenset[str]] = frozenset()
_READY: Final = 'ready'
_DRAINING: Final = 'draining'


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
        raise malformed('invalid JSON', raw) from exc
    if not isinstance(document, dict):
        raise malformed('not a JSON object', document)
    return document


def decode_configuration(
    raw: bytes, regions: frozenset[str] = NO_REGIONS
) -> Configuration:
    """Decode a configuration; raise ``record_malformed``.

    Entries that name none of the known ``regions`` are logged.
    """
    document = parse_secret_object(raw)
    try:
        return _read_configuration(document, regions)
    except KeyError as exc:
        raise malformed('configuration', exc) from exc
    except (TypeError, ValueError, AttributeError, OverflowError) as exc:
        # The text of the error may quote the document, which holds keys.
        raise malformed('configuration', type(exc).__name__) from None


def _read_configuration(
    document: dict[str, Any], regions: frozenset[str]
) -> Configuration:
    routes = {
        name: _read_route(name, fields)
        for name, fields in document['routes'].items()
    }
    services = {
        name: _read_service(name, fields)
        for name, fields in document['services'].items()
    }
    return Configuration(
        version=require_number(document, 'version'),
        routes=routes,
        services=services,
        limits=_read_limits(document.get('limits') or {}),
        table=RouteTable(routes.values()),
        customers=read_customers(document, regions),
    )


def _read_route(name: str, fields: dict[str, Any]) -> Route:
    timeout_ms = optional_number(fields, 'timeoutMs')
    # The default objective is 1 s.
    objective_ms = optional_number(fields, 'targetLatencyMs') or _MS_PER_S
    return Route(
        name=name,
        host=require_text(fields, 'host'),
        prefix=require_text(fields, 'pathPrefix'),
        kind=_KINDS.get(fields.get('type', ''), RequestKind.once),
        weighted_services=_read_weighted_services(fields),
        timeout_s=timeout_ms / _MS_PER_S if timeout_ms else None,
        objective_s=objective_ms / _MS_PER_S,
        rank=int(fields.get('priority') or 0),
        max_attempts=max(1, int(fields.get('maxAttempts') or 1)),
        public=fields.get('public') is True,
        regions=read_regions(fields),
    )


def _read_weighted_services(
    fields: dict[str, Any],
) -> tuple[tuple[str, float], ...]:
    backends = fields.get('backends')
    if not backends:
        return ((require_text(fields, 'service'), 1.0),)
    services = [
        (require_text(each, 'service'), float(each['weight']))
        for each in backends
    ]
    return tuple(each for each in services if each[1] > 0) or tuple(services)


def _read_service(name: str, fields: dict[str, Any]) -> ServiceRule:
    health_path = fields.get('healthPath') or '/health'
    if not isinstance(health_path, str) or not is_target(health_path):
        raise malformed('healthPath', health_path)
    return ServiceRule(
        name=name,
        health_path=health_path,
        max_connections=optional_number(fields, 'maxConns'),
        warm_up_s=optional_rate(fields, 'warmupS'),
        warm_up_per_s=optional_rate(fields, 'warmupPerS'),
    )


def _read_limits(fields: dict[str, Any]) -> Limits:
    defaults = Limits()
    header_ms = optional_number(fields, 'headerTimeoutMs')
    idle_ms = optional_number(fields, 'idleTimeoutMs')
    return Limits(
        max_header_bytes=optional_number(fields, 'maxHeaderBytes')
        or defaults.max_header_bytes,
        max_body_bytes=optional_number(fields, 'maxBodyBytes')
        or defaults.max_body_bytes,
        header_timeout_s=header_ms / _MS_PER_S
        if header_ms
        else defaults.header_timeout_s,
        idle_timeout_s=idle_ms / _MS_PER_S
        if idle_ms
        else defaults.idle_timeout_s,
    )


def decode_server(name: str, raw: bytes) -> BackendServer:
    """Decode the entry of a backend server; raise ``record_malformed``.

    >>> decode_server('a', b'{"service": 5}')
    Traceback (most recent call last):
    ...
    wagtailfork.core.errors.WagtailforkError: code=5006 ...
    """
    # Requests name the server in a header.
    if not is_header_text(name) or ' ' in name:
        raise malformed('name', name)
    fields = _parse_object(raw)
    require_text(fields, 'version')
    state = require_text(fields, 'state')
    if state not in {_READY, _DRAINING}:
        raise malformed('state', state)
    address = require_text(fields, 'address')
    if not is_address(address):
        raise malformed('address', address)
    return BackendServer(
        name=name,
        started_ms=require_whole(fields, 'born'),
        service=require_text(fields, 'service'),
        address=address,
        failure_domain=require_text(fields, 'zone'),
        slots=max(1, require_number(fields, 'capacity', _MAX_SLOTS)),
        draining=state == _DRAINING,
        warm_up_s=require_number(fields, 'warmupLeftMs', _MAX_WARM_UP_MS)
        / _MS_PER_S,
        sequence=require_whole(fields, 'seq'),
    )
