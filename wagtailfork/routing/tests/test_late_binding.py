"""Test late binding under load in virtual time, without a network."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any
from unittest import mock

import testtools

from ...bench.virtual import VirtualLoop
from .. import late_binding
from ..candidate import Candidate
from ..late_binding import ServiceQueue
from ..load import LoadReport, ServerLoad
from ..queued_request import QueuedRequest, Refused
from ..worth import Distance

WORK_S = 0.02
OBJECTIVE_S = 0.06
DEADLINE_S = 0.3
PROBE_S = 0.001


def now_s() -> float:
    """Return the virtual time, or zero outside a virtual loop."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time."""
    clock = mock.patch.object(late_binding, 'now_s', now_s)
    with clock, asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)


def make_server(name: str, slowness: float = 1.0, **distance: Any) -> Candidate:
    """Create a server with a current report."""
    load = ServerLoad(slots=2)
    load.record_report(LoadReport(0, 0, 2, slowness, now_s()))
    return Candidate(name, '', load, Distance(**distance))


def make_queue(*servers: Candidate) -> ServiceQueue:
    """Create a queue with some servers."""
    queue = ServiceQueue('s')
    for server in servers:
        queue.table.add(server)
    return queue


def make_queued(rank: int = 1) -> QueuedRequest:
    """Create a request that arrives now."""
    now = now_s()
    return QueuedRequest(
        rank,
        now + OBJECTIVE_S,
        now + DEADLINE_S,
        WORK_S,
        arrived_s=now,
    )


class TestChoice(testtools.TestCase):
    """Test that the server with the highest utility is chosen."""

    def test_slow_server_is_passed_over(self) -> None:
        """A server that reports a slowdown is avoided."""
        queue = make_queue(make_server('slow', 4.0), make_server('fast'))
        placed = run_virtual(queue.acquire(make_queued()))
        self.assertEqual('fast', placed.name)

    def test_far_server_serves_if_no_near_one_is_left(self) -> None:
        """A distant server is used only if no near one can serve."""
        far = make_server('far', round_trip_s=0.01, min_gain=0.25)
        near = make_server('near')
        queue = make_queue(near, far)
        placed = run_virtual(queue.acquire(make_queued()))
        self.assertEqual('near', placed.name)
        near.draining = True
        placed = run_virtual(queue.acquire(make_queued()))
        self.assertEqual('far', placed.name)

    def test_server_that_fails_is_passed_over(self) -> None:
        """A server that fails is avoided although it is idle."""
        failing = make_server('failing')
        for _ in range(20):
            failing.load.record_outcome(now_s(), failed=True)
        queue = make_queue(failing, make_server('sound'))
        placed = run_virtual(queue.acquire(make_queued()))
        self.assertEqual('sound', placed.name)


class TestProbes(testtools.TestCase):
    """Test requests whose server is probed before they are sent."""

    def test_probed_request_keeps_its_turn(self) -> None:
        """A request is not queued again because others wait meanwhile."""
        placed_s = run_virtual(_place_with_probes(requests=3))
        self.assertEqual(3, len(placed_s))
        self.assertLess(max(placed_s), WORK_S + 5 * PROBE_S)


class TestOverload(testtools.TestCase):
    """Test that most responses are in time under overload."""

    def test_answers_stay_in_time(self) -> None:
        """At twice the capacity, half are in time and few are late.

        Served first come, first served, nearly all would be late.
        """
        in_time, late, refused = run_virtual(_run_overload())
        self.assertGreater(in_time, 2 * late)
        self.assertGreater(refused, 0)

    def test_refusal_has_retry_time(self) -> None:
        """A refusal carries the time after which to retry."""
        error = run_virtual(_fill_until_refused())
        self.assertGreater(error.retry_after_s, 0)


async def _place_with_probes(requests: int) -> list[float]:
    """Place requests on one server of two slots; return when they were."""
    server = make_server('a')
    queue = make_queue(server)
    placed_s = []
    running: list[str] = []

    async def refresh_load(candidate: Candidate) -> bool:
        await asyncio.sleep(PROBE_S)
        report = LoadReport(len(running), 0, 2, 1, now_s())
        candidate.load.record_report(report)
        return True

    async def arrive() -> None:
        candidate = await queue.acquire(make_queued())
        placed_s.append(now_s() - arrived_s)
        running.append(candidate.name)
        await asyncio.sleep(WORK_S)
        running.pop()
        queue.release(candidate)

    queue.refresh_load = refresh_load
    await asyncio.sleep(1)  # the report becomes old
    arrived_s = now_s()
    await asyncio.gather(*[arrive() for _ in range(requests)])
    return placed_s


async def _run_overload() -> tuple[int, int, int]:
    """Send requests at twice the capacity of two servers of two slots."""
    rng = random.Random(7)
    queue = make_queue(make_server('a'), make_server('b'))
    queue.table.full_load.factor = 1.0
    counts = {'in_time': 0, 'late': 0, 'refused': 0}

    async def arrive() -> None:
        queued = make_queued()
        try:
            candidate = await queue.acquire(queued)
        except Refused:
            counts['refused'] += 1
            return
        await asyncio.sleep(WORK_S)
        queue.release(candidate)
        key = 'in_time' if now_s() <= queued.objective_at_s else 'late'
        counts[key] += 1

    tasks = []
    for _ in range(400):
        tasks.append(asyncio.create_task(arrive()))
        await asyncio.sleep(rng.expovariate(8 / WORK_S))
    await asyncio.gather(*tasks)
    return counts['in_time'], counts['late'], counts['refused']


async def _fill_until_refused() -> Refused:
    queue = make_queue(make_server('a'))
    waiting = []
    try:
        while True:
            task = asyncio.create_task(queue.acquire(make_queued()))
            waiting.append(task)
            await asyncio.sleep(0)
            if task.done() and task.exception() is not None:
                error = task.exception()
                assert isinstance(error, Refused)
                return error
    finally:
        for task in waiting:
            task.cancel()
