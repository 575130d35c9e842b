"""A request that crashes each endpoint that begins to answer it comes again."""

import asyncio
import os
import random
import sys

from stand_ins import HOST, Play, STABLE_S, run_case

CRASH_AFTER_S = 0.05
BACK_S = 3.0
COMES_EACH_S = 1.5
LENGTH_S = 45.0
# For comparison, PART=0 lets an endpoint fall over before it answers.
PART = os.environ.get('PART', '1') != '0'
POISON = b'{"rack": 17, "cartons": -1}'


class Case(Play):
    """The small site's unsafe and safe route, and one bad refill order."""

    def __init__(self, folder):
        routes = {
            'stock-check': {
                'host': HOST,
                'pathPrefix': '/stock/',
                'type': 'safe',
                'timeoutMs': 1500,
                'targetLatencyMs': 400,
                'priority': 2,
                'service': 'zaliha',
                'maxAttempts': 2,
            },
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
        super().__init__(
            folder, {'zaliha': (14, 0.16), 'narudzba': (8, 0.21)}, routes
        )
        self.crashes_s, self.arrivals_s, self.cut = [], [], 0

    async def on_run(self, endpoint, writer, rid, target, headers, body):
        if body != POISON:
            return True
        self.arrivals_s.append(self.record.now())
        if not self.trouble:
            return True
        # It begins its answer, and falls over while it makes the rest.
        if PART:
            writer.write(
                b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Signature: %b\r\n'
                b'Content-Length: 400\r\n\r\nrrrr'
                % (rid.encode(), endpoint.name.encode())
            )
        await asyncio.sleep(CRASH_AFTER_S)
        if not endpoint.down:
            self.crashes_s.append(self.record.now())
            self.cut += endpoint.running + endpoint.waiting - 1
            endpoint.crash(BACK_S)
        return False

    async def usual(self, per_s, method, path, deadline_ms, body):
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            gateway = random.choice(self.gateways)
            self.spawn(self.ask(gateway, method, path, deadline_ms, body))

    async def run(self):
        self.spawn(self.usual(20, 'GET', '/stock/17', 1500, b''))
        self.spawn(
            self.usual(
                10, 'POST', '/refill/17', 2000, b'{"rack": 17, "cartons": 2}'
            )
        )
        end_s = self.record.now() + LENGTH_S
        while self.record.now() < end_s:
            gateway = random.choice(self.gateways)
            await self.ask(
                gateway, 'POST', '/refill/17', 2000, POISON, poison=True
            )
            await asyncio.sleep(COMES_EACH_S)
        if not self.trouble:
            return False, f'{len(self.arrivals_s)} runs of the order, no crash'
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
