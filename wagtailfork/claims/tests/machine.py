"""State machine of three registers with reordered and lost messages."""

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
from ..claim_spec import ClaimSpec
from ..keys import IdempotencyKey
from ..register import ClaimRegister
from ..table import ClaimState, Decision, StoredResponse

INCARNATIONS = ('00000000000a', '00000000000b', '00000000000c')
RANGE_ID = f'{INCARNATIONS[0]}-1'
LOST_ERROR = WagtailforkError(ResultCode.range_unreachable, 'lost')
SETTLE_TURNS = 8


@attrs.define(eq=False)
class PendingCall:
    """Hold a message in transit, then its reply in transit."""

    target: str
    message: Message
    fut: asyncio.Future[Message]
    reply: Message | None = None


@attrs.define(eq=False)
class FakeLink:
    """Queue calls for the test instead of sending them."""

    target: str
    pending_calls: list[PendingCall]

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Wait for the test to deliver or lose the call."""
        fut: asyncio.Future[Message] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_calls.append(PendingCall(self.target, message, fut))
        return await fut


@attrs.define(eq=False)
class FakeMesh:
    """Provide a fake link to each incarnation."""

    pending_calls: list[PendingCall]

    def by_incarnation(self, incarnation: str) -> FakeLink:
        """Return a link, whether or not the peer is alive."""
        return FakeLink(incarnation, self.pending_calls)


@attrs.define(eq=False)
class FakeFollower:
    """Hold the control state of one VM."""

    state: ControlState = attrs.field(factory=ControlState)


async def _run_pending_tasks() -> None:
    for _turn in range(SETTLE_TURNS):
        await asyncio.sleep(0)


class ClaimMachine(RuleBasedStateMachine):
    """Let three VMs claim keys of one range under any order of events."""

    register_class: ClassVar[type[ClaimRegister]] = ClaimRegister

    def __init__(self) -> None:
        """Start three VMs that have applied the first view of the range."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.pending_calls: list[PendingCall] = []
        self.log: list[Any] = [{}]
        self.folded = dict.fromkeys(INCARNATIONS, 0)
        self.followers = {name: FakeFollower() for name in INCARNATIONS}
        self.registers = {
            name: self.register_class(
                name,
                self.followers[name],  # type: ignore[arg-type]
                FakeMesh(self.pending_calls),  # type: ignore[arg-type]
                slot_s=1e9,
                timeout_s=0,
            )
            for name in INCARNATIONS
        }
        self.dispatches: dict[str, int] = {}
        self.closed: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.sent = 0
        self._append(0, INCARNATIONS[0], INCARNATIONS[:2])
        for name in INCARNATIONS:
            self._fold(name)

    def teardown(self) -> None:
        """Cancel the remaining tasks."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self._run_until_idle()
        self.loop.close()

    @rule(vm=st.sampled_from(INCARNATIONS), key=st.sampled_from(('k', 'm')))
    def claim(self, vm: str, key: str) -> None:
        """Send a request with a key through one VM."""
        self.sent += 1
        spec = ClaimSpec(
            key=IdempotencyKey(RANGE_ID, 0, key),
            customer='kiosk',
            digest='d',
            claim_id=f'{vm}-{self.sent}',
        )
        self.tasks.append(self.loop.create_task(self._serve(vm, spec)))
        self._run_until_idle()

    @rule(index=st.integers(0, 99))
    def deliver(self, index: int) -> None:
        """Deliver one message or its reply."""
        if not self.pending_calls:
            return
        call = self.pending_calls[index % len(self.pending_calls)]
        if call.reply is not None:
            self.pending_calls.remove(call)
            if not call.fut.done():
                call.fut.set_result(call.reply)
            self._run_until_idle()
            return
        self.tasks.append(self.loop.create_task(self._handle(call)))
        self._run_until_idle()

    @rule(index=st.integers(0, 99))
    def repeat(self, index: int) -> None:
        """Duplicate one message."""
        if not self.pending_calls:
            return
        call = self.pending_calls[index % len(self.pending_calls)]
        duplicate = PendingCall(
            call.target, call.message, self.loop.create_future()
        )
        self.pending_calls.append(duplicate)

    @rule(index=st.integers(0, 99))
    def lose(self, index: int) -> None:
        """Fail one call at its sender; the message may still arrive later."""
        waiting = [call for call in self.pending_calls if not call.fut.done()]
        if not waiting:
            return
        waiting[index % len(waiting)].fut.set_exception(LOST_ERROR)
        self._run_until_idle()

    @rule(member=st.sampled_from(INCARNATIONS))
    def hand_over(self, member: str) -> None:
        """Hand the table of a sole member over to the other VMs."""
        view = self.followers[member].state.views.get(RANGE_ID)
        register = self.registers[member]
        if view is None or view.members != (member,):
            return
        if not register.is_member(RANGE_ID):
            return
        task = self.loop.create_task(self._hand_over(member, view.number))
        self.tasks.append(task)
        self._run_until_idle()

    async def _hand_over(self, member: str, number: int) -> None:
        targets = [name for name in INCARNATIONS if name != member]
        recipients = await self.registers[member].hand_over(RANGE_ID, targets)
        self._append(number, member, tuple(recipients), handover=True)

    @rule(member=st.sampled_from(INCARNATIONS))
    def shrink(self, member: str) -> None:
        """Propose a view in which one member is alone."""
        view = self.followers[member].state.views.get(RANGE_ID)
        if view is not None and member in view.members:
            self._append(view.number, member, (member,))

    @rule(name=st.sampled_from(INCARNATIONS))
    def fold(self, name: str) -> None:
        """Apply the next log record at one VM."""
        self._fold(name)

    @invariant()
    def at_most_once(self) -> None:
        """Check that no key is dispatched twice or after a not-run result."""
        for key, count in self.dispatches.items():
            assert count <= 1, f'{key} dispatched {count} times'
            assert key not in self.closed, f'{key} dispatched after not run'

    async def _serve(self, vm: str, spec: ClaimSpec) -> None:
        register = self.registers[vm]
        try:
            reply = await register.claim(spec, deadline=0)
        except WagtailforkError:
            register.settle(spec, ClaimState.pending, StoredResponse())
            return
        if reply.decision != Decision.granted:
            register.settle(spec, ClaimState.pending, StoredResponse())
            return
        name = spec.key.suffix
        if self.sent % 3 == 0:
            # Report 'not run' to the caller instead of dispatching.
            self.closed.add(name)
            register.settle(spec, ClaimState.closed, StoredResponse())
            return
        self.dispatches[name] = self.dispatches.get(name, 0) + 1
        register.settle(spec, ClaimState.ran_not_kept, StoredResponse())

    async def _handle(self, call: PendingCall) -> None:
        register = self.registers[call.target]
        message = call.message
        try:
            if isinstance(message, messages.ClaimRequest):
                call.reply = await register.handle_claim(message)
            elif isinstance(message, messages.Replicate):
                call.reply = await register.handle_replicate(message)
            elif isinstance(message, messages.HandOver):
                register.incoming_tables.receive(message)
                call.reply = messages.Ack()
            elif isinstance(message, messages.Settle):
                call.reply = await register.handle_settle(message)
        except WagtailforkError as exc:
            call.reply = messages.Ack(code=int(exc.code))

    def _append(
        self,
        previous: int,
        proposer: str,
        members: tuple[str, ...],
        *,
        handover: bool = False,
    ) -> None:
        change = ViewChange(
            range_id=RANGE_ID,
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

    def _run_until_idle(self) -> None:
        self.loop.run_until_complete(_run_pending_tasks())
