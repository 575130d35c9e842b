"""Fakes of backend servers: slots, service times and their troubles."""

import collections
import random
from collections.abc import Callable
from typing import Final

import attrs

SIGMA: Final = 0.8  # of the log-normal service times
MEAN_FACTOR: Final = 1.377  # mean over median at that sigma
FAIL_FAST_S: Final = 0.0005

Finish = Callable[[str], None]  # outcome: 'ok', 'shed' or 'error'
CallLater = Callable[[float, Callable[[], None]], object]


@attrs.define(eq=False)
class FakeServer:
    """Serve as many requests at once as there are slots; shed the others."""

    name: str
    slots: int
    median_s: float
    rng: random.Random
    call_later: CallLater
    slowness: float = 1
    cold_until: float = 0
    failing: bool = False
    draining: bool = False
    queues: bool = False  # wait in line instead of shedding
    busy: int = 0
    _running: set[Finish] = attrs.field(factory=set)
    sheds: int = 0
    waiting: collections.deque[Finish] = attrs.field(
        factory=collections.deque,
    )

    def offer(self, finish: Finish) -> None:
        """Take a request; ``finish`` is called with its outcome."""
        if self.failing:
            self.call_later(FAIL_FAST_S, lambda: finish('error'))
            return
        if self.busy < self.slots:
            self._start(finish)
        elif self.queues:
            self.waiting.append(finish)
        else:
            self.sheds += 1
            finish('shed')

    def _start(self, finish: Finish) -> None:
        self.busy += 1
        self._running.add(finish)
        service_s = self.median_s * self.rng.lognormvariate(0, SIGMA)
        self.call_later(
            service_s * self.slowness,
            lambda: self._end(finish),
        )

    def cancel(self, finish: Finish) -> None:
        """Stop a request whose caller has left; it is never finished."""
        if finish in self._running:
            self._leave(finish)

    def _end(self, finish: Finish) -> None:
        if finish not in self._running:
            return
        finish('ok')
        self._leave(finish)

    def _leave(self, finish: Finish) -> None:
        self._running.discard(finish)
        self.busy -= 1
        if self.waiting and self.busy < self.slots:
            self._start(self.waiting.popleft())
