"""Test that a customer's limit holds across entry VM processes."""

import asyncio
import time

import testtools

from .rig import FAST_TIMING, Entry, Rig
from .rig_tools import Reply, wait_until

LIMITED_CUSTOMER = 'clerk'
LIMIT_PER_S = 60.0  # requests per second
BURST = 5.0
TOLERANCE = 1.1  # of the limit, once the VMs have exchanged their demand
COUNT_PERIOD_S = 5.0
SETTLE_S = 3.0
CALLERS_BY_VM = {'entry-0': 1, 'entry-1': 3, 'entry-2': 8}
CALL_PERIOD_S = 0.02  # 50 requests/s per caller: in total ten times the limit
REFUSED = 2014


class LimitsTest(testtools.TestCase):
    """Send ten times a customer's limit through all VMs."""

    def test_limit_holds_over_all_vms(self) -> None:
        """Regression: each VM admitted the full limit on its own."""
        asyncio.run(self._check_limit())

    async def _check_limit(self) -> None:
        timing = {**FAST_TIMING, 'heartbeat_s': 0.5, 'peer_down_s': 2.0}
        async with Rig(timing=timing) as rig:
            state = {
                'customer': LIMITED_CUSTOMER,
                'service': 'payvend',
                'calls_per_s': LIMIT_PER_S,
                'burst': BURST,
            }
            limit = {'kind': 'limit', 'name': 'clerks', 'state': state}
            ticket = {'ticket': 2, 'operator': 'ana', 'objects': [limit]}
            self.assertEqual(200, (await rig.submit(ticket))[0])
            stop = asyncio.Event()
            replies: list[Reply] = []
            callers = [
                asyncio.create_task(
                    _call_until_stopped(rig, entry, replies, stop)
                )
                for entry in rig.entries
                for _caller in range(CALLERS_BY_VM[entry.name])
            ]
            await wait_until(lambda: _is_refused(replies))
            await asyncio.sleep(SETTLE_S)
            self._check(*await _count_ran(replies))
            # A VM that is listed but unreachable for its peers keeps its share
            # of the limit.
            rig.entries[-1].relay.cut()
            await asyncio.sleep(SETTLE_S)
            self._check(*await _count_ran(replies))
            stop.set()
            await asyncio.gather(*callers)

    def _check(self, ran: int, took_s: float) -> None:
        self.assertGreater(ran, 0)
        self.assertLessEqual(ran, LIMIT_PER_S * took_s * TOLERANCE + BURST)


async def _count_ran(replies: list[Reply]) -> tuple[int, float]:
    started = time.monotonic()
    before = len(replies)
    await asyncio.sleep(COUNT_PERIOD_S)
    received = replies[before:]
    took_s = time.monotonic() - started
    return sum(reply.kind == 'ran' for reply in received), took_s


async def _is_refused(replies: list[Reply]) -> bool:
    return any(reply.code == REFUSED for reply in replies)


async def _call_until_stopped(
    rig: Rig,
    entry: Entry,
    replies: list[Reply],
    stop: asyncio.Event,
) -> None:
    while not stop.is_set():
        replies.append(
            await rig.call(entry, wagtailfork_customer=LIMITED_CUSTOMER),
        )
        await asyncio.sleep(CALL_PERIOD_S)
