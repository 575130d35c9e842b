"""HTTP handlers for other VMs and for metrics scrapers."""

import asyncio
import logging
from collections import Counter
from http import HTTPStatus
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..core.results import HTTP_OK, http_status
from ..fleet.snapshots import (
    FETCH_LIMIT_S,
    WHOLE,
    Snapshot,
    parse_query,
    send_snapshot,
)
from ..http1.request import CallerRequest
from .metrics_source import MetricsSource
from .traffic_keeper import PATH as TRAFFIC_PATH
from .traffic_keeper import TrafficReplicator
from .view import View

MAX_WHOLE_SENT: Final = 4  # whole configurations that are sent at a time
REFUSED: Final = 'refused'

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class PeerHandler:
    """Serve snapshots to other VMs and accept their traffic sums.

    Few VMs get the whole configuration at a time. The others ask whoever tells
    them next, so that it spreads as a tree.
    """

    view: View
    replicator: TrafficReplicator
    # by form of the configuration
    snapshots: Counter[str] = attrs.field(factory=Counter)
    _whole_sent: int = 0

    async def handle(self, req: CallerRequest) -> None:
        """Respond to one request."""
        await req.body.wait_buffered()
        try:
            await self._respond(req)
        except WagtailforkError as exc:
            log_warning(_logger, 'peer_call_refused', error=exc)
            req.respond(http_status(exc.code), [])

    async def _respond(self, req: CallerRequest) -> None:
        if req.target.startswith(TRAFFIC_PATH.encode()):
            self.replicator.store_replica(req.body.payload())
            req.respond(HTTP_OK, [])
            return
        query = parse_query(req)
        snapshot = self.view.snapshot(
            query.edition, query.position, deltas=query.deltas
        )
        if snapshot.form == WHOLE:
            await self._send_in_turn(req, snapshot)
            return
        self._send(req, snapshot)

    def _send(self, req: CallerRequest, snapshot: Snapshot) -> None:
        self.snapshots[snapshot.form] += 1
        send_snapshot(req, snapshot)

    async def _send_in_turn(
        self, req: CallerRequest, snapshot: Snapshot
    ) -> None:
        """Respond unless others are being sent the whole configuration.

        The transfer ends when the asking VM closes the connection, which
        cancels this handler: what was written may still wait in the transport.
        """
        if self._whole_sent >= MAX_WHOLE_SENT:
            self.snapshots[REFUSED] += 1
            req.respond(HTTPStatus.SERVICE_UNAVAILABLE, [])
            return
        self._whole_sent += 1
        try:
            self._send(req, snapshot)
            await asyncio.sleep(FETCH_LIMIT_S)
        finally:
            self._whole_sent -= 1


@attrs.frozen
class MetricsHandler:
    """Serve the metrics page."""

    node: MetricsSource

    async def handle(self, req: CallerRequest) -> None:
        """Respond to one request."""
        # Load the metrics library only in processes that are scraped.
        from .metrics import render_metrics  # noqa: PLC0415

        accept = (req.find(b'accept') or b'').decode('latin-1')
        page, kind = render_metrics(self.node, [accept] if accept else [])
        req.respond(HTTP_OK, [(b'Content-Type', kind.encode())], page)
