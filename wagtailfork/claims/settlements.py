"""Settlements on their way to the members of a range."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.logs import log_fault
from ..peers.messages import Settle

_POLL_S: Final = 0.02
_TRIES: Final = 5

_logger = logging.getLogger(__name__)

Deliver = Callable[[Settle], Awaitable[object]]


@attrs.define
class Settlements:
    """Deliver settlements without anybody waiting, a few times if needed."""

    _deliver: Deliver
    _retry_s: float
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def post(self, settlement: Settle) -> None:
        """Begin to deliver to the member that the settlement names."""
        task = asyncio.create_task(self._try(settlement))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drained(self) -> None:
        """Wait until every settlement was delivered or given up."""
        while self._tasks:
            await asyncio.sleep(_POLL_S)

    async def _try(self, settlement: Settle) -> None:
        for _try in range(_TRIES):
            try:
                await self._deliver(settlement)
            except WagtailforkError:
                await asyncio.sleep(self._retry_s)
                continue
            return
        log_fault(
            _logger,
            'settle_lost',
            member=settlement.member,
            range=settlement.range_id,
        )
