"""Fake backend servers with slots, random service times and faults."""

import collections
import random
from collections.abc import Callable
from typing import Final

import attrs

SIGMA: Final = 0.8  # of the log-normal service times
MEAN_TO_MEDIAN: Final = 1.377  # mean divided by median at this sigma
ERROR_LATENCY_S: Final = 0.0005

OnFinish = Callable[[str], None]  # outcome: 'ok', 'shed' or 'error'
CallLater = Callable[[float, Callable[[], None]], object]


@attrs.define(eq=False)
class FakeServer:
    """Run one request per slot; shed or queue the others."""

    name: str
    slots: int
    median_s: float
    rng: random.Random
    call_later: CallLater
    slowdown: float = 1
    cold_until: float = 0
    failing: bool = False
    draining: bool = False
    queues: bool = False  # queue requests instead of shedding them
    busy: int = 0
    _running: set[OnFinish] = attrs.field(factory=set)
    sheds: int = 0
    waiting: collections.deque[OnFinish] = attrs.field(
        factory=collections.deque,
    )

    def submit(self, on_finish: OnFinish) -> None:
        """Accept a request and call ``on_finish`` with its outcome."""
        if self.failing:
            self.call_later(ERROR_LATENCY_S, lambda: on_finish('error'))
            return
        if self.busy < self.slots:
            self._start(on_finish)
        elif self.queues:
            self.waiting.append(on_finish)
        else:
            self.sheds += 1
            on_finish('shed')

    def _start(self, on_finish: OnFinish) -> None:
        self.busy += 1
        self._running.add(on_finish)
        service_s = self.median_s * self.rng.lognormvariate(0, SIGMA)
        self.call_later(
            service_s * self.slowdown,
            lambda: self._complete(on_finish),
        )

    def cancel(self, on_finish: OnFinish) -> None:
        """Cancel a running request without calling ``on_finish``."""
        if on_finish in self._running:
            self._free_slot(on_finish)

    def _complete(self, on_finish: OnFinish) -> None:
        if on_finish not in self._running:
            return
        on_finish('ok')
        self._free_slot(on_finish)

    def _free_slot(self, on_finish: OnFinish) -> None:
        self._running.discard(on_finish)
        self.busy -= 1
        if self.waiting and self.busy < self.slots:
            self._start(self.waiting.popleft())
