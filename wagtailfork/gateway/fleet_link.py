"""Dispatch of the datagrams between this VM and the other VMs."""

import logging
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import attrs

from ..core.clock import now_s
from ..core.logs import log_warning
from ..fleet.age_messages import AgeReport, AgeRequest
from ..fleet.datagrams import Datagrams
from ..fleet.members import Membership
from ..fleet.messages import (
    Heartbeat,
    HeartbeatRequest,
    Message,
)
from ..fleet.placement_messages import (
    Placed,
    PlacementDeclined,
    PlacementEnded,
    PlacementQueued,
    PlacementRequest,
)
from ..fleet.token_messages import TokenDraw, TokenGrant
from ..fleet.spill_messages import (
    Referral,
    ReferralAnswer,
    SpillOffer,
    SpillWant,
)
from ..fleet.trial_messages import (
    Absolution,
    Strike,
    TrialDecision,
    TrialMessage,
    TrialRequest,
    TrialReturn,
)
from .freshness import ConfigurationAge
from .heartbeats import Heartbeats
from .placement_client import PlacementClient
from .placement_coordinator import PlacementCoordinator
from .quotas import Quotas
from .snapshot_fetcher import SnapshotFetcher
from .trials import Trials
from .view import View

_logger = logging.getLogger(__name__)


@attrs.define(eq=False, kw_only=True)
class FleetLink:
    """Send and receive heartbeats, placements and reports of crashes."""

    membership: Membership
    view: View
    trials: Trials
    placer: PlacementClient
    coordinator: PlacementCoordinator
    quotas: Quotas
    is_ready: Callable[[], bool]
    reads_store: Callable[[], bool]
    is_stale: Callable[[], bool]
    age: ConfigurationAge
    heartbeats: Heartbeats = attrs.field(init=False)
    snapshot_fetcher: SnapshotFetcher = attrs.field(init=False)
    _datagrams: Datagrams = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the message handlers."""
        self._datagrams = Datagrams(self._receive)
        self.snapshot_fetcher = SnapshotFetcher(self.membership, self.view)
        self.heartbeats = Heartbeats(
            membership=self.membership,
            view=self.view,
            datagrams=self._datagrams,
            is_ready=self.is_ready,
            reads_store=self.reads_store,
            is_stale=self.is_stale,
        )

    async def open(self) -> None:
        """Bind the datagram socket."""
        await self._datagrams.bind(self.membership.me.address)

    def close(self) -> None:
        """Close the datagram socket."""
        self._datagrams.close()

    @property
    def sent_bytes(self) -> int:
        """Return the number of bytes sent to other VMs."""
        return self._datagrams.sent_bytes

    def send(self, message: Message, addresses: list[str]) -> None:
        """Send a message to some VMs."""
        self._datagrams.send(message, addresses)

    @singledispatchmethod
    def _receive(self, message: Any) -> None:
        log_warning(_logger, 'message_unknown', kind=type(message).__name__)

    @_receive.register
    def _(self, message: Heartbeat) -> None:
        if message.rows:
            self.heartbeats.merge(message.rows)
            self.snapshot_fetcher.fetch_if_newer(message.rows[0])

    @_receive.register
    def _(self, message: HeartbeatRequest) -> None:
        if self.heartbeats.handle_heartbeat_request(message):
            self.trials.send_strikes(message.member.address)
        self.snapshot_fetcher.fetch_if_newer(message.member)

    @_receive.register
    def _(self, message: AgeRequest) -> None:
        report = self.age.report(message.number, now_s())
        if report is not None:
            self._datagrams.send(report, [message.sender])

    @_receive.register
    def _(self, message: AgeReport) -> None:
        self.age.record_report(message)

    @_receive.register
    def _(self, message: PlacementRequest) -> None:
        self.coordinator.handle_request(message)

    @_receive.register
    def _(self, message: PlacementEnded) -> None:
        self.coordinator.handle_ended(message)

    @_receive.register
    def _(self, message: TokenDraw) -> None:
        self.quotas.handle_draw(message)

    @_receive.register
    def _(self, message: TokenGrant) -> None:
        self.quotas.handle_grant(message)

    @_receive.register
    def _(self, message: Referral) -> None:
        self.coordinator.handle_referral(message)

    @_receive.register
    def _(self, message: SpillWant) -> None:
        self.coordinator.handle_want(message)

    @_receive.register
    def _(self, message: SpillOffer) -> None:
        if self.coordinator.spill is not None:
            self.coordinator.spill.handle_offer(message)

    @_receive.register
    def _(self, message: ReferralAnswer) -> None:
        if self.coordinator.spill is not None:
            self.coordinator.spill.handle_answer(message)

    @_receive.register(Strike)
    @_receive.register(TrialRequest)
    @_receive.register(TrialDecision)
    @_receive.register(TrialReturn)
    @_receive.register(Absolution)
    def _on_trial(self, message: TrialMessage) -> None:
        self.trials.receive(message)

    @_receive.register(Placed)
    @_receive.register(PlacementQueued)
    @_receive.register(PlacementDeclined)
    def _on_placement(
        self, message: Placed | PlacementQueued | PlacementDeclined
    ) -> None:
        self.placer.handle_response(message)
