"""One tenant's request crashes endpoints; others ask for the same path."""

import asyncio
import random
import sys

from stand_ins import HOST, Play, STABLE_S, run_case

CRASH_AFTER_S = 0.05
BACK_S = 3.0
COMES_EACH_S = 2.0
LENGTH_S = 45.0
PATH = '/stock/board'


class Case(Play):
    """A safe route of the small site, with two tenants."""

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
        }
        tenants = {
            'bad': {'apiKeys': ['key-bad']},
            'good': {'apiKeys': ['key-good']},
        }
        super().__init__(folder, {'zaliha': (14, 0.16)}, routes, tenants)
        self.more_settings = {'revocation_limit_ms': 5000}
        self.crashes_s, self.arrivals_s, self.cut = [], [], 0
        self.statuses = {}

    async def on_run(self, endpoint, writer, rid, target, headers, body):
        if headers.get('tenant') != 'bad':
            return True
        self.arrivals_s.append(self.record.now())
        if not self.trouble:
            return True
        await asyncio.sleep(CRASH_AFTER_S)
        if not endpoint.down:
            self.crashes_s.append(self.record.now())
            self.cut += endpoint.running + endpoint.waiting - 1
            endpoint.crash(BACK_S)
        return False

    async def usual(self, per_s):
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            self.spawn(self.ask_good(random.choice(self.gateways)))

    async def ask_good(self, gateway):
        status = await self.ask(
            gateway, 'GET', PATH, 1500, key='key-good', tenant='good'
        )
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def run(self):
        self.spawn(self.usual(20))
        end_s = self.record.now() + LENGTH_S
        while self.record.now() < end_s:
            gateway = random.choice(self.gateways)
            await self.ask(
                gateway, 'GET', PATH, 1500, key='key-bad', tenant='bad'
            )
            await asyncio.sleep(COMES_EACH_S)
        if not self.trouble:
            return (
                False,
                f'{len(self.arrivals_s)} runs of the request, no crash; others: {self.statuses}',
            )
        if len(self.crashes_s) < 3:
            return False, f'only {len(self.crashes_s)} crashes'
        from_s = self.crashes_s[2] + STABLE_S
        late = [at_s for at_s in self.arrivals_s if at_s > from_s]
        why = (
            f'{len(self.crashes_s)} endpoints crashed; the request reached endpoints {len(late)} times'
            f' later than 4 s after the third crash (3 allowed); {self.cut} requests of others were cut;'
            f' answers to others: {self.statuses}'
        )
        self.record.add('verdict', why=why)
        return len(late) > 3, why


if __name__ == '__main__':
    run_case(Case, sys.argv[1])
