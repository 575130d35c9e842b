"""A request crashes endpoints after its requester has given up."""

import asyncio
import random
import sys

from stand_ins import HOST, Play, STABLE_S, render, run_case

CRASH_AFTER_S = 0.3
LEAVES_AFTER_S = 0.2  # within half the objective, 250 ms
BACK_S = 3.0
COMES_EACH_S = 1.5
LENGTH_S = 45.0
POISON = b'{"rack": 17, "cartons": -1}'


class Case(Play):
    """The small site's unsafe route, and one bad refill order."""

    def __init__(self, folder):
        routes = {
            'refill-order': {
                'host': HOST,
                'pathPrefix': '/refill/',
                'type': 'unsafe',
                'timeoutMs': 1200,
                'targetLatencyMs': 500,
                'priority': 1,
                'service': 'narudzba',
                'maxAttempts': 2,
            },
        }
        super().__init__(folder, {'narudzba': (8, 0.21)}, routes)
        self.crashes_s, self.arrivals_s, self.cut = [], [], 0

    async def on_run(self, endpoint, writer, rid, target, headers, body):
        if body != POISON:
            return True
        self.arrivals_s.append(self.record.now())
        # This endpoint doesn't drop a request when its connection closes.
        await asyncio.sleep(CRASH_AFTER_S)
        if not endpoint.down:
            self.crashes_s.append(self.record.now())
            self.cut += endpoint.running + endpoint.waiting - 1
            endpoint.crash(BACK_S)
        return False

    async def usual(self, per_s):
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            gateway = random.choice(self.gateways)
            self.spawn(
                self.ask(
                    gateway,
                    'POST',
                    '/refill/17',
                    2000,
                    b'{"rack": 17, "cartons": 2}',
                )
            )

    async def give_up(self, gateway):
        """Send the order and close the connection before it is answered."""
        rid = f'{random.getrandbits(64):016x}'
        self.record.add(
            'sent',
            id=rid,
            machine=gateway.vm,
            poison=True,
            leaves_after_s=LEAVES_AFTER_S,
        )
        headers = [
            ('Host', HOST),
            ('Request-Id', rid),
            ('Request-Deadline-Ms', 2000),
        ]
        reader, writer = await asyncio.open_connection(
            gateway.host, gateway.ports[0]
        )
        writer.write(render('POST /refill/17 HTTP/1.1', headers, POISON))
        try:
            async with asyncio.timeout(LEAVES_AFTER_S):
                line = (await reader.readline()).decode().strip()
                self.record.add('answer', id=rid, line=line)
        except TimeoutError:
            self.record.add('requester leaves', id=rid)
        writer.close()

    async def run(self):
        self.spawn(self.usual(10))
        end_s = self.record.now() + LENGTH_S
        while self.record.now() < end_s:
            gateway = random.choice(self.gateways)
            if self.trouble:
                await self.give_up(gateway)
            else:
                await self.ask(
                    gateway, 'POST', '/refill/17', 2000, POISON, poison=True
                )
            await asyncio.sleep(COMES_EACH_S)
        if len(self.crashes_s) < 3:
            return False, f'only {len(self.crashes_s)} crashes'
        from_s = self.crashes_s[2] + STABLE_S
        late = [at_s for at_s in self.arrivals_s if at_s > from_s]
        why = (
            f'{len(self.crashes_s)} endpoints crashed; the request reached endpoints {len(late)} times'
            f' later than 4 s after the third crash (3 allowed); {self.cut} requests of others were cut'
        )
        self.record.add('verdict', why=why)
        return len(late) > 3, why


if __name__ == '__main__':
    run_case(Case, sys.argv[1])
