"""Lend slots among entry VMs: dealer assignment and slot messages."""

import asyncio
import time
from functools import singledispatchmethod
from typing import Final

import attrs

from ..peers.mesh import Mesh
from ..peers.messages import (
    Message,
    SlotGrant,
    SlotRecall,
    SlotReturn,
    SlotsHeld,
    SlotWant,
)
from ..routing.admission import Admission
from ..routing.dealer import COLLECT_REPORTS_S, Dealer, Outgoing, dealer_of
from ..routing.pool import Pool
from ..routing.share import SlotShare

_CHECK_INTERVAL_S: Final = 0.1
_CHECKS_PER_CYCLE: Final = 10  # each service is refreshed once in a cycle
_CHECKS_PER_REPORT: Final = 5  # a report covers the held slots of one service


@attrs.define
class SlotLending:
    """Run the dealers assigned to this VM and hold slots of all services."""

    _incarnation: str
    _region: str
    _pool: Pool
    _admission: Admission
    _mesh: Mesh
    share: SlotShare = attrs.field(init=False)
    _dealers: dict[str, Dealer] = attrs.field(factory=dict)
    _dealer_names: dict[str, str] = attrs.field(factory=dict)
    _assigned_for: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
    _check_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Create this VM's slot share and pass it to admission."""
        self.share = SlotShare(self._pool, self._send_to_dealer, time.monotonic)
        self._admission.share = self.share

    async def run(self) -> None:
        """Update dealers for members and endpoints until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def check(self) -> None:
        """Reassign dealers after a change and refresh some services.

        A check refreshes one service in ten, which bounds its run time when
        there are many services.
        """
        now = time.monotonic()
        members = self._members()
        services = tuple(self._pool.services())
        if (members, services) != self._assigned_for:
            self._assigned_for = (members, services)
            self._assign_dealers(services, members, now)
        self._check_count += 1
        for service in services[
            self._check_count % _CHECKS_PER_CYCLE :: _CHECKS_PER_CYCLE
        ]:
            self.share.return_unusable(service)
            self._update_slots(service, now)
        for dealer in self._dealers.values():
            if dealer.is_busy(now):
                self._send_all(dealer.tick(now))
        if services and self._check_count % _CHECKS_PER_REPORT == 0:
            report_number = self._check_count // _CHECKS_PER_REPORT
            reported = services[report_number % len(services)]
            self._send_to_dealer(reported, self.share.report(reported))

    def dealers_by_service(self) -> dict[str, str]:
        """Return the incarnation of each service's dealer."""
        return dict(self._dealer_names)

    def receive(self, sender: str, message: Message) -> None:
        """Handle a slot message from a peer."""
        self._dispatch(message, sender)

    @singledispatchmethod
    def _dispatch(self, message: object, sender: str) -> None:
        raise TypeError(f'not a slot message: {message!r}')

    @_dispatch.register
    def _on_grant(self, message: SlotGrant, sender: str) -> None:
        self.share.on_grant(message)
        self._admission.serve(message.service)

    @_dispatch.register
    def _on_recall(self, message: SlotRecall, sender: str) -> None:
        self.share.on_recall(message)

    @_dispatch.register
    def _on_want(self, message: SlotWant, sender: str) -> None:
        dealer = self._dealers.get(message.service)
        if dealer is not None:
            now = time.monotonic()
            self._send_all(dealer.on_want(sender, message, now))

    @_dispatch.register
    def _on_return(self, message: SlotReturn, sender: str) -> None:
        dealer = self._dealers.get(message.service)
        if dealer is not None:
            now = time.monotonic()
            self._send_all(dealer.on_return(sender, message, now))

    @_dispatch.register
    def _on_held(self, message: SlotsHeld, sender: str) -> None:
        dealer = self._dealers.get(message.service)
        if dealer is not None:
            now = time.monotonic()
            self._send_all(dealer.on_held(sender, message, now))

    def _members(self) -> tuple[str, ...]:
        members = [self._incarnation]
        for link in self._mesh.up_links():
            if link.peer is None or link.peer.region != self._region:
                continue
            members.append(link.peer.incarnation)
        return tuple(sorted(members))

    def _assign_dealers(
        self,
        services: tuple[str, ...],
        members: tuple[str, ...],
        now: float,
    ) -> None:
        for service in services:
            name = dealer_of(service, members)
            if name != self._dealer_names.get(service):
                self._replace_dealer(service, name, now)
        for service in set(self._dealers) - set(services):
            self._dealers.pop(service)
        for dealer in self._dealers.values():
            self._send_all(dealer.adjust_members(members, now))

    def _replace_dealer(self, service: str, name: str, now: float) -> None:
        self._dealer_names[service] = name
        self._dealers.pop(service, None)
        self.share.restart(service)
        if name == self._incarnation:
            dealer = Dealer(service, now + COLLECT_REPORTS_S)
            self._dealers[service] = dealer
            self._update_slots(service, now)
        self._send_to_dealer(service, self.share.report(service))

    def _update_slots(self, service: str, now: float) -> None:
        dealer = self._dealers.get(service)
        if dealer is not None:
            slots = self._usable_slots(service)
            self._send_all(dealer.adjust_slots(slots, now))

    def _usable_slots(self, service: str) -> dict[str, int]:
        return {
            each.name: each.backend.slots
            for each in self._pool.endpoints(service)
            if each.backend.region == self._region
            and each.state not in {'draining', 'gone'}
        }

    def _send_to_dealer(self, service: str, message: Message) -> None:
        name = self._dealer_names.get(service)
        if name is not None:
            self._send(name, message)

    def _send_all(self, messages: Outgoing) -> None:
        for name, message in messages:
            self._send(name, message)

    def _send(self, name: str, message: Message) -> None:
        if name == self._incarnation:
            # Deferred: the sender may be iterating over the handler's data.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._dispatch, message, name)
            return
        link = self._mesh.by_incarnation(name)
        if link is not None:
            link.send_one_way(message)
