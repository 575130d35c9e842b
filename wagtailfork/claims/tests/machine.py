"""Registers of three VMs whose messages arrive in any order, or never."""

import asyncio
from typing import Any, ClassVar

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from ...control.fold import ControlState
from ...control.views import ViewChange, apply_view_change
from ...core.errors import WagtailforkError
from ...core.results import ResultCode
from ...peers import messages
from ...peers.messages import Message
from ..keys import IdempotencyKey
from ..orders import ClaimOrder
from ..register import Register
from ..table import Answer, ClaimState, Decision

HOMES = ('00000000000a', '00000000000b', '00000000000c')
RANGE = f'{HOMES[0]}-1'
LOST = WagtailforkError(ResultCode.range_unreachable, 'lost')
QUIET_STEPS = 8


@attrs.define(eq=False)
class Flight:
    """Hold a message under way, then its reply under way."""

    target: str
    message: Message
    fut: asyncio.Future[Message]
    reply: Message | None = None


@attrs.define(eq=False)
class FakeLink:
    """Put calls in flight instead of sending them."""

    target: str
    flights: list[Flight]

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Wait for the test to deliver or lose the call."""
        fut: asyncio.Future[Message] = (
            asyncio.get_running_loop().create_future()
        )
        self.flights.append(Flight(self.target, message, fut))
        return await fut


@attrs.define(eq=False)
class FakeMesh:
    """Reach every incarnation over a fake link."""

    flights: list[Flight]

    def by_incarnation(self, incarnation: str) -> FakeLink:
        """Give a link that never knows whether its end still lives."""
        return FakeLink(incarnation, self.flights)


@attrs.define(eq=False)
class FakeFollower:
    """Hold the state that one VM has folded so far."""

    state: ControlState = attrs.field(factory=ControlState)


async def _pass_turns() -> None:
    for _turn in range(QUIET_STEPS):
        await asyncio.sleep(0)


class ClaimMachine(RuleBasedStateMachine):
    """Let three VMs claim the keys of one range in any order of events."""

    register_class: ClassVar[type[Register]] = Register

    def __init__(self) -> None:
        """Start three VMs that know the birth of the range."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.flights: list[Flight] = []
        self.log: list[Any] = [{}]
        self.folded = dict.fromkeys(HOMES, 0)
        self.followers = {name: FakeFollower() for name in HOMES}
        self.registers = {
            name: self.register_class(
                name,
                self.followers[name],  # type: ignore[arg-type]
                FakeMesh(self.flights),  # type: ignore[arg-type]
                slot_s=1e9,
                timeout_s=0,
            )
            for name in HOMES
        }
        self.dispatches: dict[str, int] = {}
        self.closed: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.sent = 0
        self._append(0, HOMES[0], HOMES[:2])
        for name in HOMES:
            self._fold(name)

    def teardown(self) -> None:
        """End what still waits."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self._settle_down()
        self.loop.close()

    @rule(where=st.sampled_from(HOMES), key=st.sampled_from(('k', 'm')))
    def claim(self, where: str, key: str) -> None:
        """Send a request with a key through one VM."""
        self.sent += 1
        order = ClaimOrder(
            key=IdempotencyKey(RANGE, 0, key),
            customer='kiosk',
            digest='d',
            claim_id=f'{where}-{self.sent}',
        )
        self.tasks.append(self.loop.create_task(self._serve(where, order)))
        self._settle_down()

    @rule(pick=st.integers(0, 99))
    def deliver(self, pick: int) -> None:
        """Let one message arrive, or its reply."""
        if not self.flights:
            return
        flight = self.flights[pick % len(self.flights)]
        if flight.reply is not None:
            self.flights.remove(flight)
            if not flight.fut.done():
                flight.fut.set_result(flight.reply)
            self._settle_down()
            return
        self.tasks.append(self.loop.create_task(self._handle(flight)))
        self._settle_down()

    @rule(pick=st.integers(0, 99))
    def repeat(self, pick: int) -> None:
        """Let one message arrive twice."""
        if not self.flights:
            return
        flight = self.flights[pick % len(self.flights)]
        twin = Flight(flight.target, flight.message, self.loop.create_future())
        self.flights.append(twin)

    @rule(pick=st.integers(0, 99))
    def lose(self, pick: int) -> None:
        """Let a caller give a message up; it may still arrive later."""
        waiting = [each for each in self.flights if not each.fut.done()]
        if not waiting:
            return
        waiting[pick % len(waiting)].fut.set_exception(LOST)
        self._settle_down()

    @rule(member=st.sampled_from(HOMES))
    def hand_over(self, member: str) -> None:
        """Let a member that is alone hand its table to the others."""
        view = self.followers[member].state.views.get(RANGE)
        register = self.registers[member]
        if view is None or view.members != (member,):
            return
        if not register.holds(RANGE):
            return
        task = self.loop.create_task(self._hand_over(member, view.number))
        self.tasks.append(task)
        self._settle_down()

    async def _hand_over(self, member: str, number: int) -> None:
        targets = [name for name in HOMES if name != member]
        heirs = await self.registers[member].hand_over(RANGE, targets)
        self._append(number, member, tuple(heirs), handover=True)

    @rule(member=st.sampled_from(HOMES))
    def shrink(self, member: str) -> None:
        """Let one member propose a view without the other."""
        view = self.followers[member].state.views.get(RANGE)
        if view is not None and member in view.members:
            self._append(view.number, member, (member,))

    @rule(name=st.sampled_from(HOMES))
    def fold(self, name: str) -> None:
        """Let one VM fold the next record of the log."""
        self._fold(name)

    @invariant()
    def at_most_once(self) -> None:
        """Require that no key is dispatched twice, nor after 'not run'."""
        for key, count in self.dispatches.items():
            assert count <= 1, f'{key} dispatched {count} times'
            assert key not in self.closed, f'{key} dispatched after not run'

    async def _serve(self, where: str, order: ClaimOrder) -> None:
        register = self.registers[where]
        try:
            reply = await register.claim(order, deadline=0)
        except WagtailforkError:
            register.settle(order, ClaimState.pending, Answer())
            return
        if reply.decision != Decision.granted:
            register.settle(order, ClaimState.pending, Answer())
            return
        name = order.key.suffix
        if self.sent % 3 == 0:
            # The holder tells its caller 'not run' in place of dispatching.
            self.closed.add(name)
            register.settle(order, ClaimState.closed, Answer())
            return
        self.dispatches[name] = self.dispatches.get(name, 0) + 1
        register.settle(order, ClaimState.ran_not_kept, Answer())

    async def _handle(self, flight: Flight) -> None:
        register = self.registers[flight.target]
        message = flight.message
        try:
            if isinstance(message, messages.ClaimRequest):
                flight.reply = await register.serve_claim(message)
            elif isinstance(message, messages.Replicate):
                flight.reply = await register.serve_replicate(message)
            elif isinstance(message, messages.HandOver):
                register.incoming.receive(message)
                flight.reply = messages.Ack()
            elif isinstance(message, messages.Settle):
                flight.reply = await register.serve_settle(message)
        except WagtailforkError as exc:
            flight.reply = messages.Ack(code=int(exc.code))

    def _append(
        self,
        previous: int,
        proposer: str,
        members: tuple[str, ...],
        *,
        handover: bool = False,
    ) -> None:
        change = ViewChange(
            range_id=RANGE,
            previous=previous,
            proposer=proposer,
            members=members,
            handover=handover,
        )
        try:
            self.log.append(apply_view_change(self.log[-1], change, 0))
        except WagtailforkError:
            self.log.append(self.log[-1])

    def _fold(self, name: str) -> None:
        if self.folded[name] + 1 < len(self.log):
            self.folded[name] += 1
        state = ControlState(views=self.log[self.folded[name]])
        self.followers[name].state = state
        self.registers[name].on_state(state)

    def _settle_down(self) -> None:
        self.loop.run_until_complete(_pass_turns())
