"""Prove at most once over kills, freezes, cuts, outages and re-sends."""

import asyncio
import contextlib
import random
import signal

import attrs
import testtools

from .history import Send, find_false_refusals, find_violations
from .rig import CUSTOMERS, Entry, Rig

KEYS = 150
SENDS_PER_KEY = 6
SETTLE_S = 3.0
DEPART_S = 6.0


@attrs.define
class Chaos:
    """Send keys again and again while things fail, all from one seed."""

    rig: Rig
    rng: random.Random
    sends: list[Send] = attrs.field(factory=list)
    gets: list[Send] = attrs.field(factory=list)
    prefixes: list[str] = attrs.field(factory=list)
    stopping: bool = False

    async def run(self) -> list[str]:
        """Give the violations found in the history."""
        faults = asyncio.create_task(self._cause_faults())
        callers = [
            asyncio.create_task(self._push_key(number))
            for number in range(KEYS)
        ]
        await asyncio.gather(*callers)
        self.stopping = True
        await faults
        await asyncio.sleep(SETTLE_S)
        runs = await self.rig.runs()
        found = find_violations(self.sends, runs)
        return found + find_false_refusals(self.gets, runs)

    async def _push_key(self, number: int) -> None:
        await asyncio.sleep(number * 0.06)
        prefix = await self._prefix()
        key = f'{prefix}order-{number}'
        body = f'pay {number}'.encode()
        for attempt in range(SENDS_PER_KEY):
            entry = self.rng.choice(self.rig.entries)
            task = asyncio.create_task(
                self._send(key, body, f'{number}-{attempt}', entry),
            )
            await self._look(f'look-{number}-{attempt}', entry)
            # Some re-sends overtake the send before them.
            if self.rng.random() < 0.7:
                await task
            await asyncio.sleep(self.rng.random() * 0.3)

    async def _prefix(self) -> str:
        while True:
            await self._refresh_prefixes()
            if self.prefixes:
                return self.rng.choice(self.prefixes)

    async def _refresh_prefixes(self) -> None:
        entry = self.rng.choice(self.rig.entries)
        try:
            async with asyncio.timeout(1):
                named = await self.rig.directory(entry)
        except (OSError, TimeoutError, ValueError):
            return
        fresh = [each['key_prefix'] for each in named if each['key_prefix']]
        self.prefixes = fresh or self.prefixes

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
        self.sends.append(Send(key, body, request_id, reply))

    async def _look(self, request_id: str, entry: Entry) -> None:
        reply = await self.rig.call(
            entry,
            path=f'/{request_id}',
            x_request_id=request_id,
            wagtailfork_deadline_ms='300',
        )
        self.gets.append(Send('', b'', request_id, reply))

    async def _cause_faults(self) -> None:
        faults = (
            self._freeze,
            self._restart,
            self._replace,
            self._cut_peer,
            self._drop_answers,
            self._log_outage,
            self._shed,
        )
        # Each comes once before chance decides, the shed first.
        order = [*self.rng.sample(faults[:-1], len(faults) - 1), faults[-1]]
        while not self.stopping:
            entry = self.rng.choice(self.rig.entries)
            fault = order.pop() if order else self.rng.choice(faults)
            await fault(entry)
            await asyncio.sleep(self.rng.random() * 0.3)
        await self.rig.log_faults()

    async def _freeze(self, entry: Entry) -> None:
        self.rig.signal(entry, signal.SIGSTOP)
        await asyncio.sleep(0.2 + self.rng.random() * 1.5)
        self.rig.signal(entry, signal.SIGCONT)

    async def _restart(self, entry: Entry) -> None:
        await self.rig.kill(entry)
        await self.rig.start_entry(entry)
        await asyncio.sleep(1)

    async def _replace(self, entry: Entry) -> None:
        """Stop a VM as planned while something else goes wrong."""
        self.rig.signal(entry, signal.SIGTERM)
        others = [each for each in self.rig.entries if each is not entry]
        fault = self.rng.choice((self._freeze, self._cut_peer))
        await fault(self.rng.choice(others))
        assert entry.proc is not None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(entry.proc.wait(), DEPART_S)
        await self._restart(entry)

    async def _cut_peer(self, entry: Entry) -> None:
        entry.relay.cut()
        await asyncio.sleep(self.rng.random() * 1.5)
        entry.relay.mend()

    async def _drop_answers(self, entry: Entry) -> None:
        index = self.rng.randrange(self.rig.backends_wanted)
        drop = self.rng.choice(('before', 'during', 'after'))
        await self.rig.behave(index, drop=drop)
        await asyncio.sleep(self.rng.random() * 0.5)
        await self.rig.behave(index)

    async def _shed(self, entry: Entry) -> None:
        for index in range(self.rig.backends_wanted):
            await self.rig.behave(index, slots=0)
        await asyncio.sleep(0.3 + self.rng.random())
        for index in range(self.rig.backends_wanted):
            await self.rig.behave(index)

    async def _log_outage(self, entry: Entry) -> None:
        await self.rig.log_faults(outage=True)
        await asyncio.sleep(self.rng.random() * 1.5)
        await self.rig.log_faults(lose_answers=2)


async def run_chaos(seed: int, module: str = 'wagtailfork') -> list[str]:
    """Run one history and give its violations and a line of counts."""
    rig = Rig(service_ms=15, entry_module=module)
    async with rig:
        state = {'hedge_percent': 20, 'retry_percent': 50}
        service = {'kind': 'service', 'name': 'payvend', 'state': state}
        ticket = {'ticket': 2, 'operator': 'rig', 'objects': [service]}
        status, answer = await rig.submit(ticket)
        assert status == 200, answer
        chaos = Chaos(rig, random.Random(seed))
        violations = await chaos.run()
        kinds = [send.reply.kind for send in chaos.sends]
        counts = {kind: kinds.count(kind) for kind in sorted(set(kinds))}
        refused = [send for send in chaos.gets if send.reply.kind == 'not-run']
        assert refused, 'no repeatable request was refused'
        print(f'seed={seed} module={module} counts={counts}')
        # A history in which little happened would prove nothing.
        assert counts.get('ran', 0) > KEYS, counts
        if module == 'wagtailfork':
            assert counts.get('not-run', 0), counts
            assert counts.get('unknown', 0), counts
        return violations


class AtMostOnceTest(testtools.TestCase):
    """Check histories under chaos."""

    def test_histories_under_chaos(self) -> None:
        """Find no double run, no broken 'not run', no strange answer."""
        for seed in (1, 2):
            self.assertEqual([], asyncio.run(run_chaos(seed)))

    def test_check_finds_double_runs_of_naive_claims(self) -> None:
        """Find the double runs of VMs that each keep their own claims."""
        module = 'wagtailfork.tests.naive_entry'
        violations = asyncio.run(run_chaos(1, module))
        doubles = [line for line in violations if 'times' in line]
        self.assertNotEqual([], doubles)
