"""Trials of quarantined requests, on which all VMs agree.

One VM, chosen by the fingerprint, decides which VM may send a quarantined
request once more and when. All VMs hear of the outcome: an answer absolves the
request, a crash is one more strike.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Set
from functools import singledispatchmethod
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..fleet.member import rendezvous
from ..fleet.members import Membership
from ..fleet.messages import Message
from ..fleet.trial_messages import (
    Absolution,
    Strike,
    TrialDecision,
    TrialMessage,
    TrialRequest,
    TrialReturn,
)
from ..routing.quarantine import MAX_FINGERPRINTS, Crash, Quarantine

# Before each trial, after the strike or the trial before it, by the number of
# trials that failed. A crashing request may reach three servers long after its
# third crash, one of them through a VM that does not know of the others.
TRIAL_DELAYS_S: Final = (1.0, 5.0, 60.0, 3600.0)
# At VMs that are apart from half of the others, which have their own trials.
SPLIT_TRIAL_DELAYS_S: Final = (1.0, 3600.0)
SPLIT_MEMORY_S: Final = 120.0  # for which VMs that are down count as apart
QUARANTINE_S: Final = 7200.0  # longer than any delay
MAX_DOUBLINGS: Final = 6  # of a delay, for trials that proved nothing
PENDING_S: Final = 1.0  # after which the outcome of a trial is asked for again
# A trial whose outcome is not heard by then, as its VM ended, proved nothing.
OUTCOME_S: Final = 5.0
ASK_TIMEOUT_S: Final = 0.25  # four round trips between regions
MAX_UNANSWERED: Final = 2  # questions, before the next arbiter is asked
SILENT_S: Final = (
    10.0  # for which an arbiter that does not answer is passed over
)
STRIKE_RESEND_DELAYS_S: Final = (0.3, 1.0)
MAX_STRIKES_SENT: Final = 32  # to a new VM; the latest ones
_HEX: Final = 16
_MS: Final = 1000
_SPREAD: Final = 1000


@attrs.frozen
class Admission:
    """Tell whether a request may be sent, once as a trial, or must wait."""

    wait_s: float | None = None
    trial: bool = False


FREE: Final = Admission()


@attrs.define
class _Granted:
    unclear: int = 0  # trials that a server ran and that proved nothing
    last_s: float = 0
    before_s: float = 0  # of the trial before
    failed: int = 0  # trials, when the last one was allowed
    pending: bool = False
    not_before_s: float = 0


def delay_s(fingerprint: str, failed: int, *, split: bool = False) -> float:
    """Return the delay before a trial, up to twice ``TRIAL_DELAYS_S``.

    Requests that were lost with the same servers are not tried together.

    >>> delay_s('00000000', 0), delay_s('000001f4', 1), delay_s('0', 99)
    (1.0, 7.5, 3600.0)
    """
    delays_s = SPLIT_TRIAL_DELAYS_S if split else TRIAL_DELAYS_S
    least_s = delays_s[min(failed, len(delays_s) - 1)]
    return least_s * (1 + int(fingerprint, _HEX) % _SPREAD / _SPREAD)


@attrs.define(eq=False)
class TrialSchedule:
    """Decide when the requests of which this VM is in charge are tried.

    >>> quarantine = Quarantine()
    >>> schedule = TrialSchedule(quarantine)
    >>> for server in ('a', 'b'):
    ...     quarantine.strike('00', server, now=5)
    >>> schedule.decide('00', now=5.5), schedule.decide('00', now=6)
    (0.5, 0)
    >>> schedule.decide('00', now=6.5)
    1.0
    >>> quarantine.strike('00', 'c', now=7, trial=True)
    >>> schedule.decide('00', now=7)
    5.0
    """

    quarantine: Quarantine
    _granted: dict[str, _Granted] = attrs.field(factory=dict)

    def decide(
        self, fingerprint: str, now: float, *, split: bool = False
    ) -> float:
        """Return the seconds until a trial may be asked for, 0 to allow one.

        ``split`` tells that other VMs may allow trials that this one can't see.
        """
        granted = self._granted.setdefault(fingerprint, _Granted())
        failed = self.quarantine.failed_trials(fingerprint)
        pending_s = self._pending_s(granted, failed, now)
        if pending_s > 0:
            return pending_s
        last_s = max(granted.last_s, self.quarantine.last_strike_s(fingerprint))
        least_s = delay_s(fingerprint, failed, split=split)
        least_s *= 2 ** min(granted.unclear, MAX_DOUBLINGS)
        wait_s = max(last_s + least_s, granted.not_before_s) - now
        if wait_s > 0:
            return wait_s
        granted.before_s = granted.last_s
        granted.last_s = now
        granted.failed = failed
        granted.pending = True
        self._bound()
        return 0

    def give_back(self, fingerprint: str, now: float, *, ran: bool) -> None:
        """Take back a trial that proved nothing; wait longer if it ran."""
        granted = self._granted.get(fingerprint)
        if granted is None or not granted.pending:
            return
        granted.pending = False
        if ran:
            granted.unclear += 1
            return
        granted.last_s = granted.before_s
        granted.not_before_s = now + TRIAL_DELAYS_S[0]

    def is_pending(self, fingerprint: str) -> bool:
        """Return whether the outcome of a trial is awaited."""
        granted = self._granted.get(fingerprint)
        return granted is not None and granted.pending

    def forget(self, fingerprint: str) -> None:
        """Forget the trials of a request that was answered."""
        self._granted.pop(fingerprint, None)

    def _pending_s(self, granted: _Granted, failed: int, now: float) -> float:
        """Return the seconds until the outcome of a trial is asked for."""
        if not granted.pending:
            return 0
        left_s = granted.last_s + OUTCOME_S - now
        if failed > granted.failed:
            granted.pending = False
        elif left_s > 0:
            return min(PENDING_S, left_s)
        else:
            granted.pending = False
            granted.unclear += 1
        return 0

    def _bound(self) -> None:
        while len(self._granted) > MAX_FINGERPRINTS:
            self._granted.pop(next(iter(self._granted)))


@attrs.define(eq=False, kw_only=True)
class Trials:
    """Tell other VMs of crashes and answers, and agree with them on trials."""

    membership: Membership
    send: Callable[[Message, list[str]], None]
    log: EventLog
    quarantine: Quarantine = attrs.field(
        factory=lambda: Quarantine(kept_s=QUARANTINE_S)
    )
    schedule: TrialSchedule = attrs.field(init=False)
    _next_ask_s: dict[str, float] = attrs.field(factory=dict)
    _waiters: dict[str, 'asyncio.Future[float]'] = attrs.field(factory=dict)
    _unanswered: Counter[str] = attrs.field(factory=Counter)  # by arbiter
    _silent_until_s: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the schedule."""
        self.schedule = TrialSchedule(self.quarantine)

    async def admit(self, fingerprint: str) -> Admission:
        """Return whether a request may be sent."""
        now = now_s()
        if not self.quarantine.is_refused(fingerprint, now):
            return FREE
        due_s = self._next_ask_s.get(fingerprint)
        if due_s is None:
            first_s = self.quarantine.last_strike_s(fingerprint)
            due_s = first_s + delay_s(fingerprint, 0)
        if now < due_s:
            return Admission(wait_s=due_s - now)
        self._ask_again_at(fingerprint, now + ASK_TIMEOUT_S)
        wait_s = await self._ask(fingerprint, now)
        now = now_s()
        if not self.quarantine.is_refused(fingerprint, now):
            return FREE
        self._ask_again_at(fingerprint, now + (wait_s or PENDING_S))
        self.log.emit(
            'trial_asked',
            important=True,
            fingerprint=fingerprint,
            arbiter=self._arbiter(fingerprint),
            crashed=len(self.quarantine.crashes(fingerprint)),
            allowed=not wait_s,
            wait_s=wait_s,
        )
        return Admission(wait_s=wait_s or None, trial=not wait_s)

    def record_crash(
        self,
        fingerprint: str,
        crash: Crash,
        *,
        trial: bool,
        why: str = 'connection_lost',
    ) -> None:
        """Record a strike of this VM and send it to all others.

        The message is repeated because datagrams can be lost.
        """
        self.quarantine.strike(
            fingerprint, crash.server, now_s(), crash.started_ms, trial=trial
        )
        self.log.emit(
            'request_struck',
            important=True,
            fingerprint=fingerprint,
            server=crash.server,
            started_ms=crash.started_ms,
            trial=trial,
            why=why,
            crashed=len(self.quarantine.crashes(fingerprint)),
        )
        message = _strike(fingerprint, crash, trial=trial)
        self.send(message, self._others())
        loop = asyncio.get_running_loop()
        for seconds in STRIKE_RESEND_DELAYS_S:
            loop.call_later(seconds, self._send_again, message)

    def send_strikes(self, address: str) -> None:
        """Send a new VM the latest strikes."""
        for row in self.quarantine.strikes(MAX_STRIKES_SENT):
            fingerprint, crash, trial = row
            message = _strike(fingerprint, crash, trial=trial)
            self.send(message, [address])

    def record_answer(self, fingerprint: str) -> None:
        """Absolve a request that a server answered, at all VMs."""
        if not self.quarantine.is_suspect(fingerprint):
            return
        crashes = self.quarantine.crashes(fingerprint)
        self._absolve(fingerprint, crashes)

    def give_back(self, fingerprint: str, *, ran: bool) -> None:
        """Report that a trial proved nothing about the request."""
        self.log.emit(
            'trial_returned', important=True, fingerprint=fingerprint, ran=ran
        )
        now = now_s()
        self._ask_again_at(fingerprint, now + TRIAL_DELAYS_S[0])
        arbiter = self._arbiter(fingerprint)
        if arbiter == self.membership.me.address:
            self.schedule.give_back(fingerprint, now, ran=ran)
        else:
            self.send(TrialReturn(fingerprint, ran), [arbiter])

    @singledispatchmethod
    def receive(self, message: TrialMessage) -> None:
        """Handle a message of another VM."""
        raise TypeError(f'no handler of {type(message).__name__}')

    @receive.register
    def _(self, message: Strike) -> None:
        self.quarantine.strike(
            message.fingerprint,
            message.server,
            now_s(),
            message.started_ms,
            trial=message.trial,
        )

    @receive.register
    def _(self, message: TrialRequest) -> None:
        # The sender may have missed an absolution, or this VM some strikes.
        fingerprint = message.fingerprint
        now = now_s()
        absolved = self.quarantine.absolved(fingerprint, message.crashes)
        if absolved:
            known = Absolution(message.fingerprint, absolved)
            self.send(known, [message.sender])
        for one in message.crashes:
            self.quarantine.strike(fingerprint, one.server, now, one.started_ms)
        if self.quarantine.is_refused(fingerprint, now):
            wait_s = self._decide(fingerprint, now)
            # Any wait must not be taken for a permission.
            wait_ms = math.ceil(wait_s * _MS)
            decision = TrialDecision(message.fingerprint, wait_ms)
            self.send(decision, [message.sender])

    @receive.register
    def _(self, message: TrialDecision) -> None:
        self._resolve(message.fingerprint, message.wait_ms / _MS)

    @receive.register
    def _(self, message: TrialReturn) -> None:
        self.schedule.give_back(message.fingerprint, now_s(), ran=message.ran)

    @receive.register
    def _(self, message: Absolution) -> None:
        self._absolve(message.fingerprint, message.crashes, told=True)

    def _absolve(
        self,
        fingerprint: str,
        crashes: tuple[Crash, ...],
        *,
        told: bool = False,
    ) -> None:
        is_new = self.quarantine.absolve_crashes(fingerprint, crashes)
        self.schedule.forget(fingerprint)
        self._next_ask_s.pop(fingerprint, None)
        self._resolve(fingerprint, PENDING_S)
        if not is_new:
            return
        self.log.emit(
            'request_absolved',
            important=True,
            fingerprint=fingerprint,
            strikes=len(crashes),
            told=told,
        )
        message = Absolution(fingerprint, crashes)
        arbiter = self._arbiter(fingerprint)
        is_arbiter = arbiter == self.membership.me.address
        if is_arbiter or (self._silent() and not told):
            # VMs that pass over a silent arbiter differ in whom they ask.
            self.send(message, self._others())
        elif not told:
            self.send(message, [arbiter])

    def _resolve(self, fingerprint: str, wait_s: float) -> None:
        """Pass a decision to the request that waits for it."""
        waiter = self._waiters.get(fingerprint)
        if waiter is not None and not waiter.done():
            waiter.set_result(wait_s)

    def _send_again(self, message: Strike) -> None:
        self.send(message, self._others())

    async def _ask(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a trial may be asked for, 0 to send one."""
        arbiter = self._arbiter(fingerprint)
        me = self.membership.me.address
        if arbiter == me:
            return self._decide(fingerprint, now)
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[fingerprint] = waiter
        crashes = self.quarantine.crashes(fingerprint)
        self.send(TrialRequest(me, fingerprint, crashes), [arbiter])
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                wait_s = await waiter
        except TimeoutError:
            self._record_unanswered(arbiter)
            return PENDING_S
        else:
            self._unanswered.pop(arbiter, None)
            return wait_s
        finally:
            self._waiters.pop(fingerprint, None)

    def _decide(self, fingerprint: str, now: float) -> float:
        seen = 1 + len(self._others())
        known = self.membership.recent_count(now, SPLIT_MEMORY_S)
        split = 2 * seen <= known
        return self.schedule.decide(fingerprint, now, split=split)

    def _arbiter(self, fingerprint: str) -> str:
        """Return the VM that decides on the trials of a request."""
        me = self.membership.me.address
        silent = self._silent()
        others = [one for one in self._others() if one not in silent]
        return rendezvous(fingerprint, [me, *others]) or me

    def _silent(self) -> Set[str]:
        """Return the VMs that are passed over as arbiters."""
        now = now_s()
        for address, until_s in tuple(self._silent_until_s.items()):
            if until_s <= now:
                self._silent_until_s.pop(address)
        return self._silent_until_s.keys()

    def _record_unanswered(self, arbiter: str) -> None:
        """Pass over an arbiter that is of an earlier build, or cut off."""
        self._unanswered[arbiter] += 1
        if self._unanswered[arbiter] < MAX_UNANSWERED:
            return
        self._unanswered.pop(arbiter)
        self._silent_until_s[arbiter] = now_s() + SILENT_S
        self.log.emit('arbiter_silent', important=True, arbiter=arbiter)

    def _others(self) -> list[str]:
        return [one.address for one in self.membership.alive(now_s())]

    def _ask_again_at(self, fingerprint: str, due_s: float) -> None:
        self._next_ask_s[fingerprint] = due_s
        while len(self._next_ask_s) > MAX_FINGERPRINTS:
            self._next_ask_s.pop(next(iter(self._next_ask_s)))


def _strike(fingerprint: str, crash: Crash, *, trial: bool) -> Strike:
    return Strike(fingerprint, crash.server, crash.started_ms, trial)
