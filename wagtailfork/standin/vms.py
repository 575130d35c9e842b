"""Stand-in for the platform's list of live and leaving VMs."""

import asyncio
from http import HTTPStatus
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


@attrs.define
class VmsStandin:
    """Serve a VM list; updates over the control path apply after a lag."""

    lag_s: float = 0
    outage: bool = False
    _vms: list[dict[str, Any]] = attrs.field(factory=list)
    _pending_updates: set[asyncio.Task[None]] = attrs.field(factory=set)

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route('/vms', self._list),
                Route('/control', self._control, methods=['POST']),
            ],
        )

    def replace(self, vms: list[dict[str, Any]]) -> None:
        """Replace the whole list immediately."""
        self._vms = vms

    async def _list(self, req: Request) -> Response:
        if self.outage:
            return JSONResponse(
                {'error': 'unavailable'},
                status_code=HTTPStatus.SERVICE_UNAVAILABLE,
            )
        return JSONResponse({'vms': self._vms})

    async def _control(self, req: Request) -> Response:
        raw = await req.json()
        self.lag_s = float(raw.get('lag_s', self.lag_s))
        self.outage = bool(raw.get('outage', self.outage))
        if 'vms' in raw:
            task = asyncio.create_task(self._replace_later(raw['vms']))
            self._pending_updates.add(task)
            task.add_done_callback(self._pending_updates.discard)
        return JSONResponse({'ok': True})

    async def _replace_later(self, vms: list[dict[str, Any]]) -> None:
        await asyncio.sleep(self.lag_s)
        self.replace(vms)
