"""Repeat what was appended to a store that was restored from an older copy."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..traffic.ledger import AppendSummary

CHECK_INTERVAL_S: Final = 5.0
RETAINED_S: Final = 60.0  # a store is restored from a copy some seconds old
MAX_RETAINED: Final = 16  # summaries of up to 150 KB

_logger = logging.getLogger(__name__)


@attrs.define
class _Append:
    summary: Any
    era: int
    appended_at_s: float


@attrs.define(eq=False, kw_only=True)
class RetainedAppends:
    """Append summaries, and append the latest ones again in a later era.

    A summary that the store still has is counted once in reports.
    """

    append_once: AppendSummary
    era: Callable[[], int]
    _retained: deque[_Append] = attrs.field(
        factory=lambda: deque(maxlen=MAX_RETAINED)
    )

    async def append(self, summary: Any) -> None:
        """Append one summary and retain it."""
        era = self.era()  # a restore during the append may undo it
        await self.append_once(summary)
        self._retained.append(_Append(summary, era, now_s()))

    async def run(self) -> None:
        """Append again what a restored store may have lost, without end."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                await self.append_lost(now_s())
            except WagtailforkError as exc:
                log_warning(_logger, 'traffic_not_appended', error=exc)

    async def append_lost(self, now: float) -> None:
        """Append again what was appended in an earlier era."""
        while self._retained and (
            now - self._retained[0].appended_at_s > RETAINED_S
        ):
            self._retained.popleft()
        era = self.era()
        for one in list(self._retained):
            if one.era >= era:
                continue
            await self.append_once(one.summary)
            one.era = era
            log_event(_logger, 'traffic_appended_again', era=era)
