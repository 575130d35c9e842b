"""Loads of the store's topics, of which each domain makes one at a time."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.logs import log_event, log_warning
from ..http1.body import Body
from .reader_election import FAR_STORE_S

_BACKOFF_S: Final = 0.25  # times the failures in a row after the first
_MAX_BACKOFF_S: Final = 1.0
_CLAIM_S: Final = 0.05  # for the claims of the neighbours to arrive
_CHECK_S: Final = 0.02  # five round trips to the store in its own region
_MAX_WAIT_S: Final = 0.5  # for the other topic, which may fail by itself
# A VM whose load is slower than this after some time goes on, but no longer
# counts as reader, so that another one may be faster. A listing of 1,400 routes
# takes 10 s at the limit; the slowest VMs have a link of 625 KB/s.
_LOAD_LEASE_S: Final = 1.2
_MIN_LOAD_BYTES_PER_S: Final = 30000

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class TopicStatus:
    """Record how the reads of one topic go."""

    name: str
    ok: bool = False
    failures: int = 0
    read_at_s: float = attrs.field(factory=now_s)  # or the start
    # Since when an answer arrives, or this VM says that it loads the topic.
    loading_since_s: float | None = None
    loading: Body | None = None  # what has arrived
    waiting_since_s: float | None = None  # for the other topic
    claimed: bool = False  # the load, before an answer began to arrive
    # Whether the last read failed at a reader, which other VMs wait for.
    just_lost: bool = False

    @property
    def is_read(self) -> bool:
        """Return whether other VMs need not read the topic."""
        return self.ok if self.loading_since_s is None else self.loads

    @property
    def loads(self) -> bool:
        """Return whether a load is claimed, or goes on fast enough."""
        if self.loading_since_s is None:
            return False
        spent_s = now_s() - self.loading_since_s
        received = self.loading.size if self.loading else 0
        in_time = spent_s < _LOAD_LEASE_S
        return in_time or received >= spent_s * _MIN_LOAD_BYTES_PER_S

    def record_load(self, body: Body | None = None) -> None:
        """Record that a load is claimed, or begins to arrive."""
        self.loading_since_s = now_s()
        self.loading = body

    def record_success(self) -> None:
        """Record a complete read."""
        if not self.ok:
            log_event(_logger, 'store_reached', topic=self.name)
        self.ok = True
        self.just_lost = False
        self.failures = 0
        self.read_at_s = now_s()
        self._end_load()

    def record_failure(self, error: str) -> None:
        """Record a failed read."""
        if self.ok:
            log_warning(
                _logger,
                'store_lost',
                topic=self.name,
                read_age_s=round(now_s() - self.read_at_s, 3),
                error=error,
            )
        self.just_lost = self.ok
        self.ok = False
        self.failures += 1
        self._end_load()

    def record_pause(self) -> None:
        """Record that this VM does not follow the topic."""
        self.ok = False
        self.just_lost = False
        self.failures = 0
        self._end_load()

    def backoff_s(self) -> float:
        """Return the delay before the next read; none after a first failure."""
        return min(_MAX_BACKOFF_S, _BACKOFF_S * max(0, self.failures - 1))

    def _end_load(self) -> None:
        self.loading_since_s = None
        self.loading = None
        self.waiting_since_s = None
        self.claimed = False


@attrs.define(eq=False, kw_only=True)
class LoadClaim:
    """Let one VM of a domain begin to load a topic that may be large.

    A link that is shared by several VMs that load it serves none of them. The
    VMs that claim a load tell their neighbours; the election lets one go on.
    """

    status: TopicStatus
    probe: TopicStatus  # of a small topic
    in_use: Callable[[], bool]  # whether an earlier state of the topic is
    store_call_s: Callable[[], float]  # the fastest call
    announce: Callable[[], None]

    async def may_load(self) -> bool:
        """Return whether to load now; else claim or wait, to be called again.

        The small topic tells first whether the store answers this VM. A reader
        that failed goes on at once, before another one takes over.
        """
        status = self.status
        if status.loading_since_s is not None:
            return True
        if not self.in_use():
            return await self._may_start()
        now = now_s()
        status.waiting_since_s = status.waiting_since_s or now
        if self.probe.ok or now - status.waiting_since_s > _MAX_WAIT_S:
            return status.just_lost or await self._claim()
        await asyncio.sleep(_CHECK_S)
        return False

    async def _may_start(self) -> bool:
        """Return whether a VM loads that serves nothing before."""
        return self.store_call_s() < FAR_STORE_S or await self._claim()

    async def _claim(self) -> bool:
        self.status.record_load()
        self.status.claimed = True
        self.announce()
        await asyncio.sleep(_CLAIM_S)
        return False
