"""Detection of a store that does not answer long polls."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from typing import Final

import attrs

from ..core.clock import now_s

# The store responds in 4 ms, or in 400 ms when it is slowed by a factor of 100.
RESPONSE_LIMIT_S: Final = 0.5


_READ_LIMIT_S: Final = 0.8  # of a read that does not wait for records
# Added to the wait of a poll, for its own answer to begin.
_GRACE_S: Final = 1.2


@attrs.define(eq=False)
class _Limit:
    timeout: asyncio.Timeout
    limit_s: float  # without any answer
    due_s: float  # by which its own answer is due

    def restart(self, now: float) -> None:
        """Count the time without any answer from now."""
        if not self.timeout.expired():
            self.timeout.reschedule(min(now + self.limit_s, self.due_s))

    def suspend(self) -> None:
        """Let no time count."""
        if not self.timeout.expired():
            self.timeout.reschedule(None)


@attrs.define(eq=False)
class PollWatch:
    """Alternate the long polls of several topics and limit their silence.

    A store without news answers a poll at the end of its wait. The polls of two
    topics end half a wait apart, so an answer is due every half wait, and a
    store that does not answer is known without more calls. An answer to one
    poll extends the limit of the others.
    """

    wait_s: float  # longest wait of a poll
    settle_s: float  # pause between an answer with records and the next poll
    # Of the readers of the failure domains, from 0 to 1: those with another
    # phase end their polls at other times, so that one of them has read lately.
    phase: float = 0
    _ends_at_s: dict[str, float] = attrs.field(factory=dict)
    _limits: dict[str, '_Limit'] = attrs.field(factory=dict)
    _arriving: set[str] = attrs.field(factory=set)  # topics of answers
    _suspended_at_s: float = 0  # since when any answer arrives

    @property
    def silence_limit_s(self) -> float:
        """Return the time without any answer after which polls fail."""
        return self.wait_s / 2 + self.settle_s + RESPONSE_LIMIT_S

    def limit_of(self, wait_s: float) -> float:
        """Return the time without any answer after which a read fails."""
        return self.silence_limit_s if wait_s else _READ_LIMIT_S

    def next_wait_s(self, topic: str) -> float:
        """Return the wait of the next poll of a topic."""
        now = now_s()
        if not self._ends_at_s and self.phase:
            return self.wait_s * (1 - self.phase) / 2
        others_s = [
            ends_at_s - now
            for other, ends_at_s in self._ends_at_s.items()
            if other != topic
        ]
        return alternating_wait_s(self.wait_s, max(others_s, default=0))

    @contextlib.asynccontextmanager
    async def limit(
        self, topic: str, wait_s: float
    ) -> AsyncIterator[Callable[[], None]]:
        """Limit a poll; raise ``TimeoutError`` if no poll is answered.

        Yield a function to call when an answer begins to arrive: the limit is
        on silence, and a long answer may take longer.
        """
        limit_s = self.limit_of(wait_s)
        due_s = _loop_s() + wait_s + _GRACE_S
        async with asyncio.timeout(
            None if self._arriving else limit_s
        ) as timeout:
            self._ends_at_s[topic] = now_s() + wait_s
            self._limits[topic] = _Limit(timeout, limit_s, due_s)
            try:
                with self.receive(topic) as record_answer:
                    yield record_answer
            finally:
                self._ends_at_s.pop(topic)
                self._limits.pop(topic, None)
        self._restart_limits()

    @contextlib.contextmanager
    def receive(self, topic: str) -> Iterator[Callable[[], None]]:
        """Suspend the limits of polls while an answer arrives.

        Yield a function to call when it begins to. A long answer holds up
        those behind it; its own silence is limited where it is read.
        """
        try:
            yield functools.partial(self._begin_answer, topic)
        finally:
            if topic in self._arriving:
                self._end_answer(topic)

    def _begin_answer(self, topic: str) -> None:
        own = self._limits.pop(topic, None)
        if own is not None:
            own.suspend()
        if not self._arriving:
            self._suspended_at_s = _loop_s()
        self._arriving.add(topic)
        self._restart_limits()

    def _end_answer(self, topic: str) -> None:
        self._arriving.remove(topic)
        if not self._arriving:
            for one in self._limits.values():
                one.due_s += _loop_s() - self._suspended_at_s
        self._restart_limits()

    def _restart_limits(self) -> None:
        for one in self._limits.values():
            if self._arriving:
                one.suspend()
            else:
                one.restart(_loop_s())


def _loop_s() -> float:
    return asyncio.get_running_loop().time()


def phase_of(failure_domain: str, domains: Iterable[str]) -> float:
    """Return the phase of the readers of a failure domain.

    >>> [phase_of(name, ['b', 'a', 'd', 'c']) for name in ('a', 'b', 'd')]
    [0.0, 0.25, 0.75]
    >>> phase_of('x', [])
    0.0
    """
    ordered = sorted(domains)
    if failure_domain not in ordered:
        return 0.0
    return ordered.index(failure_domain) / len(ordered)


def alternating_wait_s(wait_s: float, other_s: float) -> float:
    """Return the wait of a poll, given the time until another one ends.

    The poll ends half a wait after the other one, or before it.

    >>> alternating_wait_s(2.0, 0.75), alternating_wait_s(2.0, 1.25)
    (1.75, 1.0)
    >>> alternating_wait_s(2.0, -0.5)
    1.0
    """
    half_s = wait_s / 2
    return half_s + other_s if 0 < other_s <= half_s else half_s
