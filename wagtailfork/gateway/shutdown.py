"""A planned stop: be named no longer, finish what is under way, go."""

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

POLL_INTERVAL_S: Final = 0.05  # between looks at what is under way
FLUSH_TIMEOUT_S: Final = 0.4  # for the store to take the last sums

_logger = logging.getLogger(__name__)


class ShutdownTarget(Protocol):
    """Name what a planned stop needs of a node."""

    cfg: GatewaySettings
    leaving: bool
    ledger: Ledger
    callers: CallerServer
    link: FleetLink


async def shut_down(node: ShutdownTarget) -> None:
    """Leave within the limit of the settings.

    New connections are taken for as long as callers may still hold this
    VM's address; each answer tells its caller to go elsewhere.
    """
    started_s = now_s()
    node.leaving = True
    node.callers.leaving = True
    log_event(_logger, 'leaving', busy=node.callers.busy())
    node.link.heartbeats.announce()
    node.link.heartbeats.announce_far()
    await asyncio.sleep(node.cfg.stop_accepts_s)
    node.callers.stop_listening()
    while now_s() - started_s < node.cfg.stop_limit_s:
        node.callers.close_idle()
        if not node.callers.busy():
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    with contextlib.suppress(TimeoutError):
        # Without an answer a neighbour appends what it was handed last.
        async with asyncio.timeout(FLUSH_TIMEOUT_S):
            await node.ledger.flush()
    node.link.close()
