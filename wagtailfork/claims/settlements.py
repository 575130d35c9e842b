"""Delivery of settlements to the members of a key range."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..peers.messages import Settle

_POLL_PERIOD_S: Final = 0.02
_MAX_ATTEMPTS: Final = 5

_logger = logging.getLogger(__name__)

DeliverFn = Callable[[Settle], Awaitable[object]]


@attrs.define
class Settlements:
    """Deliver settlements in background tasks with a few retries."""

    _deliver: DeliverFn
    _retry_s: float
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def submit(self, settlement: Settle) -> None:
        """Start delivery to the member that the settlement names."""
        task = asyncio.create_task(self._deliver_with_retries(settlement))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_drained(self) -> None:
        """Wait until each settlement was delivered or has failed."""
        while self._tasks:
            await asyncio.sleep(_POLL_PERIOD_S)

    async def _deliver_with_retries(self, settlement: Settle) -> None:
        for _attempt in range(_MAX_ATTEMPTS):
            try:
                await self._deliver(settlement)
            except WagtailforkError:
                await asyncio.sleep(self._retry_s)
                continue
            return
        log_warning(
            _logger,
            'settle_lost',
            member=settlement.member,
            range=settlement.range_id,
        )
