"""Test at-most-once execution under process, network and log faults."""

import asyncio
import contextlib
import random
import signal

import aiohttp
import attrs
import testtools

from .history import SentRequest, find_false_refusals, find_violations
from .rig import CUSTOMERS, Entry, Rig

KEY_COUNT = 150
SENDS_PER_KEY = 6
SETTLE_S = 3.0
STOP_LIMIT_S = 6.0


@attrs.define
class ChaosWorkload:
    """Resend requests with keys while faults are injected, from one seed."""

    rig: Rig
    rng: random.Random
    sends: list[SentRequest] = attrs.field(factory=list)
    gets: list[SentRequest] = attrs.field(factory=list)
    prefixes: list[str] = attrs.field(factory=list)
    stopping: bool = False

    async def run(self) -> list[str]:
        """Run to the end and return the violations found in the history."""
        faults = asyncio.create_task(self._cause_faults())
        callers = [
            asyncio.create_task(self._send_key(number))
            for number in range(KEY_COUNT)
        ]
        try:
            await asyncio.gather(*callers)
        finally:
            # No VM may be started once the rig has stopped them all.
            self.stopping = True
            await faults
        await asyncio.sleep(SETTLE_S)
        runs = await self.rig.runs()
        found = find_violations(self.sends, runs)
        return found + find_false_refusals(self.gets, runs)

    async def _send_key(self, number: int) -> None:
        await asyncio.sleep(number * 0.06)
        prefix = await self._choose_prefix()
        key = f'{prefix}order-{number}'
        body = f'pay {number}'.encode()
        for attempt in range(SENDS_PER_KEY):
            entry = self.rng.choice(self.rig.entries)
            task = asyncio.create_task(
                self._send(key, body, f'{number}-{attempt}', entry),
            )
            await self._send_get(f'look-{number}-{attempt}', entry)
            # Otherwise the next attempt is sent while this one is in flight.
            if self.rng.random() < 0.7:
                await task
            await asyncio.sleep(self.rng.random() * 0.3)

    async def _choose_prefix(self) -> str:
        while True:
            await self._update_prefixes()
            if self.prefixes:
                return self.rng.choice(self.prefixes)

    async def _update_prefixes(self) -> None:
        entry = self.rng.choice(self.rig.entries)
        try:
            async with asyncio.timeout(1):
                listed = await self.rig.directory(entry)
        except (OSError, TimeoutError, ValueError, aiohttp.ClientError):
            # The VM may be killed, frozen or stopped meanwhile.
            return
        found = [each['key_prefix'] for each in listed if each['key_prefix']]
        self.prefixes = found or self.prefixes

    async def _send(
        self,
        key: str,
        body: bytes,
        request_id: str,
        entry: Entry,
    ) -> None:
        reply = await self.rig.call(
            entry,
            'POST',
            body=body,
            idempotency_key=key,
            x_request_id=request_id,
            wagtailfork_deadline_ms=str(self.rng.choice((60, 300, 700))),
            wagtailfork_customer=CUSTOMERS[0],
        )
        self.sends.append(SentRequest(key, body, request_id, reply))

    async def _send_get(self, request_id: str, entry: Entry) -> None:
        reply = await self.rig.call(
            entry,
            path=f'/{request_id}',
            x_request_id=request_id,
            wagtailfork_deadline_ms='300',
        )
        self.gets.append(SentRequest('', b'', request_id, reply))

    async def _cause_faults(self) -> None:
        faults = (
            self._freeze,
            self._restart,
            self._stop_and_restart,
            self._cut_peer_links,
            self._drop_answers,
            self._log_outage,
            self._shed,
        )
        # Inject each fault once, shedding first, before choosing at random.
        order = [*self.rng.sample(faults[:-1], len(faults) - 1), faults[-1]]
        while not self.stopping:
            entry = self.rng.choice(self.rig.entries)
            fault = order.pop() if order else self.rng.choice(faults)
            await fault(entry)
            await asyncio.sleep(self.rng.random() * 0.3)
        await self.rig.set_log_faults()

    async def _freeze(self, entry: Entry) -> None:
        self.rig.signal(entry, signal.SIGSTOP)
        await asyncio.sleep(0.2 + self.rng.random() * 1.5)
        self.rig.signal(entry, signal.SIGCONT)

    async def _restart(self, entry: Entry) -> None:
        await self.rig.kill(entry)
        await self.rig.start_entry(entry)
        await asyncio.sleep(1)

    async def _stop_and_restart(self, entry: Entry) -> None:
        """Stop a VM with SIGTERM while another has a fault, then restart it."""
        self.rig.signal(entry, signal.SIGTERM)
        others = [each for each in self.rig.entries if each is not entry]
        fault = self.rng.choice((self._freeze, self._cut_peer_links))
        await fault(self.rng.choice(others))
        assert entry.proc is not None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(entry.proc.wait(), STOP_LIMIT_S)
        await self._restart(entry)

    async def _cut_peer_links(self, entry: Entry) -> None:
        entry.relay.cut()
        await asyncio.sleep(self.rng.random() * 1.5)
        entry.relay.restore()

    async def _drop_answers(self, entry: Entry) -> None:
        index = self.rng.randrange(self.rig.backend_count)
        drop = self.rng.choice(('before', 'during', 'after'))
        await self.rig.set_behaviour(index, drop=drop)
        await asyncio.sleep(self.rng.random() * 0.5)
        await self.rig.set_behaviour(index)

    async def _shed(self, entry: Entry) -> None:
        for index in range(self.rig.backend_count):
            await self.rig.set_behaviour(index, slots=0)
        await asyncio.sleep(0.3 + self.rng.random())
        for index in range(self.rig.backend_count):
            await self.rig.set_behaviour(index)

    async def _log_outage(self, entry: Entry) -> None:
        await self.rig.set_log_faults(outage=True)
        await asyncio.sleep(self.rng.random() * 1.5)
        await self.rig.set_log_faults(lose_answers=2)


async def run_chaos(seed: int, module: str = 'wagtailfork') -> list[str]:
    """Run one seed, print its counts and return the violations."""
    rig = Rig(service_ms=15, entry_module=module)
    async with rig:
        state = {'hedge_percent': 20, 'retry_percent': 50}
        service = {'kind': 'service', 'name': 'payvend', 'state': state}
        ticket = {'ticket': 2, 'operator': 'rig', 'objects': [service]}
        status, answer = await rig.submit(ticket)
        assert status == 200, answer
        workload = ChaosWorkload(rig, random.Random(seed))
        violations = await workload.run()
        kinds = [send.reply.kind for send in workload.sends]
        counts = {kind: kinds.count(kind) for kind in sorted(set(kinds))}
        refused = [
            send for send in workload.gets if send.reply.kind == 'not-run'
        ]
        assert refused, 'no repeatable request was refused'
        print(f'seed={seed} module={module} counts={counts}')
        # The history must contain enough results of each kind to be checked.
        assert counts.get('ran', 0) > KEY_COUNT, counts
        if module == 'wagtailfork':
            assert counts.get('not-run', 0), counts
            assert counts.get('unknown', 0), counts
        return violations


class AtMostOnceTest(testtools.TestCase):
    """Check histories of requests during injected faults."""

    def test_no_violations_under_faults(self) -> None:
        """Find no double run, false 'not-run' or reply to another request."""
        for seed in (1, 2):
            self.assertEqual([], asyncio.run(run_chaos(seed)))

    def test_check_finds_double_runs_of_naive_claims(self) -> None:
        """Report the double runs of VMs that each keep their own claims."""
        module = 'wagtailfork.tests.naive_entry'
        violations = asyncio.run(run_chaos(1, module))
        doubles = [line for line in violations if 'times' in line]
        self.assertNotEqual([], doubles)
