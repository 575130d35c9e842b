"""Replicate this VM's traffic sums until they are in the store.

Each VM appends its sums once a minute. In between it sends the sums not yet
appended to one neighbour, which appends them if this VM is lost.
"""

import asyncio
import logging
from typing import Any, Final

import attrs
import cbor2

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..core.results import ResultCode
from ..core.structure import parse_plain, render_plain
from ..fleet.delivery import post_message
from ..fleet.members import Membership
from ..traffic.ledger import AppendSummary, Ledger, TrafficSummary

REPLICATE_INTERVAL_S: Final = 10.0  # bounds the traffic lost with a VM
ORPHAN_DELAY_S: Final = 5.0  # a VM that was only partitioned is back by then
MAX_REPLICAS: Final = 64  # bounds memory
PATH: Final = '/traffic'

_logger = logging.getLogger(__name__)


@attrs.define
class _Replica:
    address: str
    summaries: list[Any]
    lost_since_s: float | None = None


@attrs.define(eq=False, kw_only=True)
class TrafficReplicator:
    """Send replicas, store those of neighbours and append orphaned ones."""

    ledger: Ledger
    membership: Membership
    append: AppendSummary
    # by address and incarnation
    _replicas: dict[tuple[str, int], _Replica] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Replicate and append orphaned replicas, without end."""
        while True:
            await asyncio.sleep(REPLICATE_INTERVAL_S)
            await self.replicate()
            await self.append_orphaned(now_s())

    async def replicate(self) -> None:
        """Send the sums that are not yet in the store to one neighbour."""
        successors = self.membership.ring.successors()
        if not successors:
            return
        me = self.membership.me
        summaries = [
            render_plain(one) for one in self.ledger.unappended_summaries()
        ]
        message = [me.address, me.incarnation, summaries]
        try:
            await post_message(successors[0], PATH, cbor2.dumps(message))
        except WagtailforkError as exc:
            log_warning(_logger, 'traffic_not_handed_over', error=exc)

    def store_replica(self, raw: bytes) -> None:
        """Store a neighbour's replica; raise ``frame_malformed``."""
        try:
            address, incarnation, summaries = cbor2.loads(raw)
            replica = _Replica(str(address), _parse_summaries(summaries))
            member_key = (replica.address, int(incarnation))
        except Exception as exc:
            # Arbitrary bytes make the decoder raise many kinds of errors.
            raise WagtailforkError(
                ResultCode.frame_malformed,
                repr(exc),
            ) from exc
        self._replicas.pop(member_key, None)
        if replica.summaries and len(self._replicas) < MAX_REPLICAS:
            self._replicas[member_key] = replica
        elif replica.summaries:
            log_warning(_logger, 'traffic_not_held', peer=replica.address)

    async def append_orphaned(self, now: float) -> None:
        """Append the replicas of VMs that have been lost for a while."""
        for member_key, replica in list(self._replicas.items()):
            if self.membership.is_alive(*member_key):
                replica.lost_since_s = None
                continue
            if replica.lost_since_s is None:
                replica.lost_since_s = now
            if now - replica.lost_since_s >= ORPHAN_DELAY_S:
                await self._append(member_key, replica)

    async def _append(
        self, member_key: tuple[str, int], replica: _Replica
    ) -> None:
        while replica.summaries:
            try:
                await self.append(replica.summaries[0])
            except WagtailforkError as exc:
                log_warning(_logger, 'traffic_not_appended', error=exc)
                return
            replica.summaries.pop(0)
        self._replicas.pop(member_key, None)
        log_event(_logger, 'traffic_rescued', peer=replica.address)


def _parse_summaries(found: Any) -> list[Any]:
    """Return the valid summaries of a replica as plain values."""
    summaries = []
    for plain in list(found):
        try:
            parse_plain(plain, TrafficSummary, ResultCode.frame_malformed)
        except WagtailforkError as exc:
            log_warning(_logger, 'summary_unreadable', error=exc)
            continue
        summaries.append(plain)
    return summaries
