"""Test the bound on how many servers one kind of request can crash."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import testtools

from .rig import Rig
from .rig_tools import Reply
from .shared_calls import call_in_turn

SEND_COUNT = 12
MAX_CRASHED = 2
LATE_MS = 900  # from a request's arrival to its crash
GIVE_UP_S = 0.4  # after which a caller disconnects; shorter than LATE_MS
QUARANTINED = 2011

SendPattern = Callable[[Rig], Awaitable[list[Reply]]]


class CrashTest(testtools.TestCase):
    """Send requests that crash every backend server that runs them."""

    def test_crashing_requests_are_bounded_fleet_wide(self) -> None:
        """Crash at most two of twenty servers; then serve other requests."""
        asyncio.run(self._crash())

    async def _crash(self) -> None:
        async with Rig(backend_count=20) as rig:
            for send_pattern in SEND_PATTERNS:
                await self._check(rig, send_pattern)
            replies = await call_in_turn(rig)
            self.assertEqual({1000}, {reply.code for reply in replies})

    async def _check(self, rig: Rig, send_pattern: SendPattern) -> None:
        before = _crashed(rig)
        replies = await send_pattern(rig)
        await asyncio.sleep(2 * LATE_MS / 1000)
        crashed = len(_crashed(rig) - before)
        codes = [reply.code for reply in replies]
        details = f'{send_pattern.__name__} {crashed} {codes}'
        self.assertGreater(crashed, 0, details)
        self.assertLessEqual(crashed, MAX_CRASHED, details)
        self.assertIn(QUARANTINED, codes, details)


def _crashed(rig: Rig) -> set[str]:
    return {
        name
        for name, proc in rig.procs.items()
        if name.startswith('backend') and proc.returncode is not None
    }


async def _send(rig: Rig, number: int, path: str, crash: str) -> Reply:
    entry = rig.entries[number % len(rig.entries)]
    return await rig.call(entry, path=path, x_crash=crash)


async def _send_sequentially(rig: Rig) -> list[Reply]:
    return [
        await _send(rig, number, '/now', '1') for number in range(SEND_COUNT)
    ]


async def _crash_within_response(rig: Rig) -> list[Reply]:
    return [
        await _send(rig, number, '/half', 'answer')
        for number in range(SEND_COUNT)
    ]


async def _disconnect_before_crash(rig: Rig) -> list[Reply]:
    replies = []
    for number in range(SEND_COUNT):
        call = _send(rig, number, '/late', f'after={LATE_MS}')
        with contextlib.suppress(TimeoutError):
            replies.append(await asyncio.wait_for(call, GIVE_UP_S))
    return replies


async def _send_while_earlier_wait(rig: Rig) -> list[Reply]:
    tasks = []
    for number in range(SEND_COUNT):
        call = _send(rig, number, '/slow', f'after={LATE_MS}')
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(GIVE_UP_S)
    return list(await asyncio.gather(*tasks))


async def _send_concurrently_through_one_vm(rig: Rig) -> list[Reply]:
    calls = [_send(rig, 0, '/burst', '1') for _number in range(SEND_COUNT)]
    return list(await asyncio.gather(*calls))


SEND_PATTERNS = (
    _send_sequentially,
    _crash_within_response,
    _disconnect_before_crash,
    _send_while_earlier_wait,
    _send_concurrently_through_one_vm,
)
