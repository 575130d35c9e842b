"""Send heartbeats and gossip, and detect VMs that stop sending them."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.logs import log_event, log_warning
from ..fleet.datagrams import Datagrams
from ..fleet.member import Member, MemberRow
from ..fleet.members import HEARTBEAT_PERIOD_S, Membership
from ..fleet.messages import Heartbeat, HeartbeatRequest
from ..fleet.position import START
from ..fleet.telling import GossipSelector
from ..fleet.watch import FailureDetector
from .view import View

ANNOUNCE_FANOUT: Final = 64  # neighbours that get a change; the rest by gossip
RELAY_FANOUT: Final = 4  # neighbours that get a relayed change
FAR_SENDERS: Final = 4  # VMs of a domain that send a change to other domains
FAR_FANOUT: Final = 2  # VMs of another domain that each of them sends it to

_logger = logging.getLogger(__name__)


@attrs.define(eq=False, kw_only=True)
class Heartbeats:
    """Send periodic heartbeats and announce changes at once."""

    membership: Membership
    view: View
    datagrams: Datagrams
    is_ready: Callable[[], bool]
    reads_store: Callable[[], bool]
    is_stale: Callable[[], bool]
    _failure_detector: FailureDetector = attrs.field(init=False)
    _gossip: GossipSelector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the failure detector and the gossip selection."""
        self._failure_detector = FailureDetector(self.membership)
        self._gossip = GossipSelector(self.membership)

    async def run(self) -> None:
        """Send heartbeats and check the monitored VMs, without end."""
        while True:
            self.send_heartbeat()
            self._check_monitored()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def send_heartbeat(self) -> None:
        """Send a heartbeat to some VMs; announce a change of state first."""
        now = now_s()
        if self._update_own_row():
            self._send_own_row(ANNOUNCE_FANOUT)
        recipients = [
            one.address for one in self._gossip.heartbeat_targets(now)
        ]
        self.datagrams.send(
            Heartbeat(self._gossip.heartbeat_rows(now)), recipients
        )

    def announce(self, *, relayed: bool = False) -> None:
        """Send a change to the neighbours at once.

        A relayed change goes to a few only: the VM that sent it to this one
        sent it to others as well.
        """
        self._update_own_row()
        self._send_own_row(RELAY_FANOUT if relayed else ANNOUNCE_FANOUT)

    def announce_far(self) -> None:
        """Send a change to two VMs of each other failure domain.

        Each domain reads the store itself; this covers a domain whose reader
        is partitioned from the store.
        """
        vm_count = max(FAR_SENDERS, len(self.membership.neighbours()))
        if random.random() > FAR_SENDERS / vm_count:  # noqa: S311
            return
        domains = self.membership.other_domains(now_s())
        for addresses in domains.values():
            limit = min(FAR_FANOUT, len(addresses))
            chosen = random.sample(addresses, limit)
            self.datagrams.send(Heartbeat([self.membership.me]), chosen)

    def request_heartbeats(self, members: list[Member]) -> None:
        """Add registered VMs and request heartbeats of some of them."""
        self.membership.add_listed(members, now_s())
        targets = self._gossip.join_targets(members)
        recipients = [one.address for one in targets]
        self.datagrams.send(HeartbeatRequest(self.membership.me), recipients)

    def handle_heartbeat_request(self, message: HeartbeatRequest) -> bool:
        """Send a heartbeat on request; return whether the sender was new.

        A new sender also receives rows of other VMs.
        """
        sender = message.member
        is_new = not self.membership.is_known(sender)
        self.merge([sender])
        rows: list[MemberRow] = [self.membership.me]
        if is_new:
            rows = self._gossip.join_reply_rows()
        self.datagrams.send(Heartbeat(rows), [sender.address])
        return is_new

    def merge(self, rows: list[MemberRow]) -> None:
        """Merge rows, the sender's first; refute a report of this VM's loss."""
        for member in self.membership.merge(rows, now_s()):
            log_event(
                _logger,
                'vm_heard',
                peer=member.address,
                incarnation=member.incarnation,
            )
        if self.membership.disputed:
            self.membership.disputed = False
            log_event(_logger, 'called_gone', source=rows[0].address)
            self.announce()
        if not self.membership.is_known(rows[0]):
            # A short row lacks the details of a VM that is not known yet.
            request = HeartbeatRequest(self.membership.me)
            self.datagrams.send(request, [rows[0].address])

    def send_to_some(self, message: Heartbeat, limit: int) -> None:
        """Send a message to a random choice of at most ``limit`` neighbours."""
        addresses = [one.address for one in self.membership.neighbours()]
        recipients = random.sample(addresses, min(limit, len(addresses)))
        self.datagrams.send(message, recipients)

    def _send_own_row(self, limit: int) -> None:
        self.send_to_some(Heartbeat([self.membership.me]), limit)

    def _check_monitored(self) -> None:
        overdue = self._failure_detector.step(now_s())
        to_probe = [one.address for one in overdue.to_probe]
        self.datagrams.send(HeartbeatRequest(self.membership.me), to_probe)
        for member in overdue.down:
            log_warning(
                _logger,
                'vm_lost',
                peer=member.address,
                incarnation=member.incarnation,
                beat=member.heartbeat_count,
            )
            message = Heartbeat([self.membership.me, member])
            self.send_to_some(message, ANNOUNCE_FANOUT)

    def _update_own_row(self) -> bool:
        """Update this VM's row; return whether to announce it at once."""
        before = self.membership.me
        self.membership.advance(
            ready=self.is_ready(),
            reads_store=self.reads_store(),
            stale=self.is_stale(),
            edition=self.view.edition,
            position=max(START, self.view.position),
            evacuations=self.view.evacuations.position,
        )
        me = self.membership.me
        return (before.ready, before.reads_store, before.stale) != (
            me.ready,
            me.reads_store,
            me.stale,
        )
