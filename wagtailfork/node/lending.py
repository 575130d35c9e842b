"""Carry slot messages between this VM's share, its dealers and its peers."""

import asyncio
import time
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
_TURNS: Final = 10  # checks in which every service is looked after once
_REPORT_TURNS: Final = 5  # checks for each report of what is held


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
    _basis: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
    _turn: int = 0

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
        """Choose dealers anew if needed and look after some services.

        Each check takes its turn of the services, so that its cost stays
        small however many there are.
        """
        now = time.monotonic()
        members = self._members()
        services = tuple(self._pool.services())
        if (members, services) != self._basis:
            self._basis = (members, services)
            self._choose_dealers(services, members, now)
        self._turn += 1
        for service in services[self._turn % _TURNS :: _TURNS]:
            self.share.return_unusable(service)
            self._adjust(service, now)
        for dealer in self._dealers.values():
            if dealer.is_busy(now):
                self._deliver(dealer.tick(now))
        if services and self._turn % _REPORT_TURNS == 0:
            turn = self._turn // _REPORT_TURNS
            reported = services[turn % len(services)]
            self._to_dealer(reported, self.share.report(reported))

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

    def _members(self) -> tuple[str, ...]:
        members = [self._incarnation]
        for link in self._mesh.up_links():
            if link.peer is None or link.peer.region != self._region:
                continue
            members.append(link.peer.incarnation)
        return tuple(sorted(members))

    def _choose_dealers(
        self,
        services: tuple[str, ...],
        members: tuple[str, ...],
        now: float,
    ) -> None:
        for service in services:
            name = dealer_of(service, members)
            if name != self._dealer_names.get(service):
                self._change_dealer(service, name, now)
        for service in set(self._dealers) - set(services):
            self._dealers.pop(service)
        for dealer in self._dealers.values():
            self._deliver(dealer.adjust_members(members, now))

    def _change_dealer(self, service: str, name: str, now: float) -> None:
        self._dealer_names[service] = name
        self._dealers.pop(service, None)
        self.share.restart(service)
        if name == self._incarnation:
            dealer = Dealer(service, now + LEARNING_S)
            self._dealers[service] = dealer
            self._adjust(service, now)
        self._to_dealer(service, self.share.report(service))

    def _adjust(self, service: str, now: float) -> None:
        dealer = self._dealers.get(service)
        if dealer is not None:
            slots = self._usable_slots(service)
            self._deliver(dealer.adjust_slots(slots, now))

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
