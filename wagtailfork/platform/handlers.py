"""Handlers of the calls from the platform: readiness and the directory."""

import json
from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qs, urlsplit

import attrs

from ..http1.request import CallerRequest

_OK: Final = 200
_UNAVAILABLE: Final = 503
_NOT_FOUND: Final = 404
_JSON: Final = (b'Content-Type', b'application/json')
_READY_PATH: Final = '/v1/ready'
_RESOLVE_PATH: Final = '/v1/resolve'


@attrs.frozen(kw_only=True)
class PlatformHandlers:
    """Handle the platform's calls with the node's current state."""

    is_ready: Callable[[], bool]
    # Takes a region and a failure domain.
    addresses: Callable[[str, str], list[str]]
    ttl_s: float

    async def handle_ready(self, req: CallerRequest) -> None:
        """Send the status 200 if this VM accepts requests, else 503."""
        if _path(req) != _READY_PATH:
            req.respond(_NOT_FOUND, [])
            return
        req.respond(_OK if self.is_ready() else _UNAVAILABLE, [])

    async def handle_resolve(self, req: CallerRequest) -> None:
        """Send the addresses that a caller should connect to."""
        if _path(req) != _RESOLVE_PATH:
            req.respond(_NOT_FOUND, [])
            return
        query = parse_qs(urlsplit(req.target.decode('latin-1')).query)
        region = query.get('region', [''])[0]
        domain = query.get('zone', [''])[0]
        found = self.addresses(region, domain)
        if not found:
            req.respond(_UNAVAILABLE, [])
            return
        document = {'addresses': found, 'ttlS': self.ttl_s}
        payload = json.dumps(document, separators=(',', ':')).encode()
        req.respond(_OK, [_JSON], payload)


def _path(req: CallerRequest) -> str:
    return urlsplit(req.target.decode('latin-1')).path
