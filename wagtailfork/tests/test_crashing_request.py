"""Prove the bound on requests that crash servers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import testtools

from .rig import Rig
from .rig_tools import Reply
from .scenes import burst

SENDS = 12
MAX_CRASHED = 2
LATE_MS = 900  # from a request's arrival to its crash
GIVE_UP_S = 0.4  # a caller's patience, shorter than that
QUARANTINED = 2011

Sending = Callable[[Rig], Awaitable[list[Reply]]]


class CrashTest(testtools.TestCase):
    """Send requests that crash each backend server that runs them."""

    def test_crashing_requests_are_bounded_fleet_wide(self) -> None:
        """Crash no more than two of twenty servers; others go on."""
        asyncio.run(self._crash())

    async def _crash(self) -> None:
        async with Rig(backends_wanted=20) as rig:
            for sending in SENDINGS:
                await self._check(rig, sending)
            replies = await burst(rig)
            self.assertEqual({1000}, {reply.code for reply in replies})

    async def _check(self, rig: Rig, sending: Sending) -> None:
        before = _crashed(rig)
        replies = await sending(rig)
        await asyncio.sleep(2 * LATE_MS / 1000)
        crashed = len(_crashed(rig) - before)
        codes = [reply.code for reply in replies]
        told = f'{sending.__name__} {crashed} {codes}'
        self.assertGreater(crashed, 0, told)
        self.assertLessEqual(crashed, MAX_CRASHED, told)
        self.assertIn(QUARANTINED, codes, told)


def _crashed(rig: Rig) -> set[str]:
    return {
        name
        for name, proc in rig.procs.items()
        if name.startswith('backend') and proc.returncode is not None
    }


async def _send(rig: Rig, number: int, path: str, crash: str) -> Reply:
    entry = rig.entries[number % len(rig.entries)]
    return await rig.call(entry, path=path, x_crash=crash)


async def _one_after_another(rig: Rig) -> list[Reply]:
    return [await _send(rig, number, '/now', '1') for number in range(SENDS)]


async def _within_the_answer(rig: Rig) -> list[Reply]:
    return [
        await _send(rig, number, '/half', 'answer') for number in range(SENDS)
    ]


async def _given_up_before_the_crash(rig: Rig) -> list[Reply]:
    replies = []
    for number in range(SENDS):
        call = _send(rig, number, '/late', f'after={LATE_MS}')
        with contextlib.suppress(TimeoutError):
            replies.append(await asyncio.wait_for(call, GIVE_UP_S))
    return replies


async def _while_others_wait(rig: Rig) -> list[Reply]:
    tasks = []
    for number in range(SENDS):
        call = _send(rig, number, '/slow', f'after={LATE_MS}')
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(GIVE_UP_S)
    return list(await asyncio.gather(*tasks))


async def _at_once_through_one_vm(rig: Rig) -> list[Reply]:
    calls = [_send(rig, 0, '/burst', '1') for _number in range(SENDS)]
    return list(await asyncio.gather(*calls))


SENDINGS = (
    _one_after_another,
    _within_the_answer,
    _given_up_before_the_crash,
    _while_others_wait,
    _at_once_through_one_vm,
)
