"""Graceful shutdown: leave the directory, finish requests, close."""

import asyncio
import contextlib
import logging
from typing import Final, Protocol

from ..core.clock import now_s
from ..core.logs import log_event
from ..core.settings import GatewaySettings
from ..http1.server import CallerServer
from ..traffic.ledger import Ledger
from .fleet_link import FleetLink
from .planned_stop import PlannedStop

POLL_INTERVAL_S: Final = 0.05  # for checking the requests in progress
FLUSH_TIMEOUT_S: Final = 0.4  # for appending the last traffic sums to the store
EXIT_MARGIN_S: Final = 0.15  # for the process to end before it is killed

_logger = logging.getLogger(__name__)


class ShutdownTarget(Protocol):
    """Declare the parts of a node that take part in a shutdown."""

    cfg: GatewaySettings
    draining: bool
    planned_stop: PlannedStop
    ledger: Ledger
    callers: CallerServer
    link: FleetLink


async def shut_down(node: ShutdownTarget) -> None:
    """Shut down gracefully within the limit of the settings.

    New connections are accepted for as long as callers may have cached this
    VM's address; each response asks its caller to close the connection.
    """
    started_s = now_s()
    node.draining = True
    node.planned_stop.begin(started_s)
    node.callers.draining = True
    log_event(_logger, 'leaving', busy=node.callers.busy())
    node.link.heartbeats.announce()
    node.link.heartbeats.announce_far()
    await asyncio.sleep(node.cfg.stop_accepts_s)
    node.callers.stop_listening()
    await _finish_responses(node.callers, started_s + node.cfg.stop_limit_s)
    with contextlib.suppress(TimeoutError):
        # If this fails, a neighbour appends its latest replica of the sums.
        async with asyncio.timeout(FLUSH_TIMEOUT_S):
            await node.ledger.flush()
    # Callers that still read go on until the process has to end.
    end_s = started_s + node.cfg.stop_grace_s - EXIT_MARGIN_S
    await _finish_responses(node.callers, end_s)
    log_event(_logger, 'served', busy=node.callers.busy())
    node.link.close()


async def _finish_responses(callers: CallerServer, until_s: float) -> None:
    """Wait until all responses are sent, or for as long as there is."""
    while now_s() < until_s:
        callers.close_idle()
        if not callers.busy():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
