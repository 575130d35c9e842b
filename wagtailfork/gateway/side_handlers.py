"""HTTP handlers for other VMs and for metrics scrapers."""

import logging

import attrs

from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..core.results import HTTP_OK, http_status
from ..fleet.snapshots import parse_query, send_snapshot
from ..http1.request import CallerRequest
from .metrics_source import MetricsSource
from .traffic_keeper import PATH as TRAFFIC_PATH
from .traffic_keeper import TrafficReplicator
from .view import View

_logger = logging.getLogger(__name__)


@attrs.frozen
class PeerHandler:
    """Serve snapshots to other VMs and accept their traffic sums."""

    view: View
    replicator: TrafficReplicator

    async def handle(self, req: CallerRequest) -> None:
        """Respond to one request."""
        await req.body.wait_buffered()
        try:
            self._respond(req)
        except WagtailforkError as exc:
            log_warning(_logger, 'peer_call_refused', error=exc)
            req.respond(http_status(exc.code), [])

    def _respond(self, req: CallerRequest) -> None:
        if req.target.startswith(TRAFFIC_PATH.encode()):
            self.replicator.store_replica(req.body.payload())
            req.respond(HTTP_OK, [])
            return
        query = parse_query(req)
        snapshot = self.view.snapshot(
            query.edition, query.position, deltas=query.deltas
        )
        send_snapshot(req, snapshot)


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
