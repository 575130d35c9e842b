"""Carry slot messages between this VM's share, its dealers and its peers."""

import asyncio
import time
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Final

import attrs

from ..peers.messages import (
    Message,
    SlotGrant,
    SlotRecall,
    SlotReturn,
    SlotsHeld,
    SlotWant,
)
from ..peers.mesh import Mesh
from ..routing.admission import Admission
from ..routing.dealer import LEARNING_S, Dealer, Outgoing, dealer_of
from ..routing.pool import Pool
from ..routing.share import SlotShare

_CHECK_S: Final = 0.1
_REPORT_EVERY_S: Final = 2.0


@attrs.define
class Lending:
    """Be the dealer of some services and a holder of all."""

    _incarnation: str
    _region: str
    _pool: Pool
    _admission: Admission
    _mesh: Mesh
    share: SlotShare = attrs.field(init=False)
    _dealers: dict[str, Dealer] = attrs.field(factory=dict)
    _dealer_names: dict[str, str] = attrs.field(factory=dict)
    _reported_at: float = 0

    def __attrs_post_init__(self) -> None:
        """Make the share and give it to the admission."""
        self.share = SlotShare(self._pool, self._to_dealer, time.monotonic)
        self._admission.share = self.share

    async def run(self) -> None:
        """Keep dealers in step with members and endpoints."""
        while True:
            self.check()
            await asyncio.sleep(_CHECK_S)

    def check(self) -> None:
        """Choose dealers anew and let them serve."""
        now = time.monotonic()
        members = self._members()
        is_due = now - self._reported_at > _REPORT_EVERY_S
        if is_due:
            self._reported_at = now
        for service in self._pool.services():
            self._choose_dealer(service, members, now)
            if is_due:
                self._to_dealer(service, self.share.report(service))
        for service in set(self._dealers) - set(self._pool.services()):
            self._dealers.pop(service)
        for service, dealer in self._dealers.items():
            self._deliver(dealer.adjust_members(members, now))
            slots = self._usable_slots(service)
            self._deliver(dealer.adjust_slots(slots, now))
        self.share.return_unusable()

    def dealt(self) -> dict[str, str]:
        """Name each service's dealer."""
        return dict(self._dealer_names)

    def receive(self, sender: str, message: Message) -> None:
        """Take a slot message of a peer."""
        self._take(message, sender)

    @singledispatchmethod
    def _take(self, message: object, sender: str) -> None:
        raise TypeError(f'no slot message: {message!r}')

    @_take.register
    def _take_grant(self, message: SlotGrant, sender: str) -> None:
        self.share.on_grant(message)
        self._admission.serve(message.service)

    @_take.register
    def _take_recall(self, message: SlotRecall, sender: str) -> None:
        self.share.on_recall(message)

    @_take.register
    def _take_want(self, message: SlotWant, sender: str) -> None:
        dealer = self._dealers.get(message.service)
        if dealer is not None:
            now = time.monotonic()
            self._deliver(dealer.on_want(sender, message, now))

    @_take.register
    def _take_return(self, message: SlotReturn, sender: str) -> None:
        dealer = self._dealers.get(message.service)
        if dealer is not None:
            now = time.monotonic()
            self._deliver(dealer.on_return(sender, message, now))

    @_take.register
    def _take_held(self, message: SlotsHeld, sender: str) -> None:
        dealer = self._dealers.get(message.service)
        if dealer is not None:
            now = time.monotonic()
            self._deliver(dealer.on_held(sender, message, now))

    def _members(self) -> list[str]:
        members = [self._incarnation]
        for link in self._mesh.up_links():
            if link.peer is None or link.peer.region != self._region:
                continue
            members.append(link.peer.incarnation)
        return members

    def _choose_dealer(
        self,
        service: str,
        members: Iterable[str],
        now: float,
    ) -> None:
        name = dealer_of(service, members)
        if name == self._dealer_names.get(service):
            return
        self._dealer_names[service] = name
        self._dealers.pop(service, None)
        self.share.restart(service)
        if name == self._incarnation:
            self._dealers[service] = Dealer(service, now + LEARNING_S)
        self._to_dealer(service, self.share.report(service))

    def _usable_slots(self, service: str) -> dict[str, int]:
        return {
            each.name: each.backend.slots
            for each in self._pool.endpoints(service)
            if each.backend.region == self._region
            and each.state not in {'draining', 'gone'}
        }

    def _to_dealer(self, service: str, message: Message) -> None:
        name = self._dealer_names.get(service)
        if name is not None:
            self._post(name, message)

    def _deliver(self, sent: Outgoing) -> None:
        for name, message in sent:
            self._post(name, message)

    def _post(self, name: str, message: Message) -> None:
        if name == self._incarnation:
            # Never within the sender's own step: it may be in a loop.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._take, message, name)
            return
        link = self._mesh.by_incarnation(name)
        if link is not None:
            link.cast(message)
