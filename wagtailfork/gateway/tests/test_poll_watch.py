"""Alternation of the long polls of two topics, and their limit."""

import asyncio
import random

import testtools

from ...core.clock import now_s
from ..poll_watch import (
    RESPONSE_LIMIT_S,
    PollWatch,
    alternating_wait_s,
    phase_of,
)

WAIT_S = 2.0
CHANGES = 500
SETTLE_S = 0.1
SHORT_WAIT_S = 0.2
TOLERANCE_S = 0.001


class TestAlternation(testtools.TestCase):
    """An answer is due every half wait, whatever the polls were answered."""

    def test_gap_is_bounded_after_changes(self) -> None:
        """Polls that are answered early, for a change, alternate again."""
        rng = random.Random(4)
        for _ in range(CHANGES):
            gap_s = _longest_gap_s(rng)
            self.assertLessEqual(gap_s, WAIT_S / 2 + SETTLE_S + TOLERANCE_S)

    def test_calls_are_no_more_than_one_wait_apart(self) -> None:
        """In the long run each topic is polled once in a wait."""
        ends_s = [0.0, 0.0]
        calls = 0
        while min(ends_s) < 100 * WAIT_S:
            now = min(ends_s)
            topic = ends_s.index(now)
            other_s = ends_s[1 - topic] - now
            ends_s[topic] = now + alternating_wait_s(WAIT_S, other_s)
            calls += 1
        self.assertLessEqual(calls, 2 * 100 + 2)


class TestLimit(testtools.TestCase):
    """A poll fails once no poll has been answered for the limit."""

    def test_answer_to_one_poll_extends_the_other(self) -> None:
        """A poll waits longer than the limit while the others are answered."""
        asyncio.run(self._answer_other())

    def test_all_polls_fail_without_any_answer(self) -> None:
        """The limit ends each poll if none is answered."""
        asyncio.run(self._answer_none())

    async def _answer_other(self) -> None:
        watch = PollWatch(SHORT_WAIT_S, 0)
        limit_s = watch.silence_limit_s
        async with asyncio.TaskGroup() as group:
            waiting = group.create_task(_poll(watch, 'a', 1.8 * limit_s))
            for _ in range(3):
                await _poll(watch, 'b', limit_s / 2)
        self.assertTrue(waiting.result())

    async def _answer_none(self) -> None:
        watch = PollWatch(SHORT_WAIT_S, 0)
        started_s = now_s()
        answered = await asyncio.gather(
            _poll(watch, 'a', 9), _poll(watch, 'b', 9)
        )
        self.assertEqual([False, False], answered)
        elapsed_s = now_s() - started_s
        self.assertLess(elapsed_s, 2 * watch.silence_limit_s)


async def _poll(watch: PollWatch, topic: str, answered_s: float) -> bool:
    """Poll a topic; return whether the answer came before the limit."""
    try:
        async with watch.limit(topic, watch.next_wait_s(topic)):
            await asyncio.sleep(answered_s)
    except TimeoutError:
        return False
    return True


def _longest_gap_s(rng: random.Random) -> float:
    """Return the longest gap between answers around changes of the topics."""
    ends_s = [0.0, 0.0]
    last_s = 0.0
    longest_s = 0.0
    for _ in range(12):
        now = min(ends_s)
        topic = ends_s.index(now)
        longest_s = max(longest_s, now - last_s)
        last_s = now
        if rng.random() < 0.5:
            # A change answers the other poll early; its reader then pauses.
            at_s = rng.uniform(now, ends_s[1 - topic])
            ends_s[1 - topic] = at_s + SETTLE_S
        other_s = ends_s[1 - topic] - now
        ends_s[topic] = now + alternating_wait_s(WAIT_S, other_s)
    return longest_s


class TestPhase(testtools.TestCase):
    """Readers of several failure domains poll at different times."""

    def test_first_polls_end_apart(self) -> None:
        """Guards against readers that all read last at the same moment."""
        domains = ['a', 'b', 'c', 'd']
        watches = [
            PollWatch(2, 0.1, phase_of(name, domains)) for name in domains
        ]
        waits_s = [one.next_wait_s('config') for one in watches]
        self.assertEqual([1.0, 0.75, 0.5, 0.25], waits_s)
        # An answer is due before the poll fails, without one to another poll.
        for wait_s, watch in zip(waits_s, watches, strict=True):
            due_s = wait_s + RESPONSE_LIMIT_S
            self.assertLessEqual(due_s, watch.silence_limit_s)
