"""All gateways are killed after a request has crashed three endpoints."""

import asyncio
import random
import signal
import sys

from stand_ins import STABLE_S, STOCK_CHECK, CrashingRequest, run_case

BEFORE_KILL_S = 12.0
DOWN_S = 1.5
AFTER_KILL_S = 30.0
PATH = '/stock/bad'


class Case(CrashingRequest):
    """The small site's safe route, and one bad look-up."""

    def __init__(self, folder):
        super().__init__(
            folder, {'zaliha': (14, 0.16)}, {'stock-check': STOCK_CHECK}
        )

    async def on_run(self, endpoint, writer, rid, target, headers, body):
        if target != PATH:
            return True
        self.arrivals_s.append(self.record.now())
        await self.fall_over(endpoint)
        return False

    async def send(self, gateway):
        """Ask; a requester retries a failure once, at another machine."""
        others = [one for one in self.gateways if one is not gateway]
        for each in (gateway, random.choice(others)):
            status = await self.ask(each, 'GET', PATH, 1500, bad=True)
            if status in (200, 503):
                break

    async def kill_all(self):
        self.record.add('all gateways are killed')
        for one in self.gateways:
            one.signal(signal.SIGKILL)
        await asyncio.gather(*(one.process.wait() for one in self.gateways))
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(one.start() for one in self.gateways))
        self.record.add('all gateways are started')

    async def run(self):
        self.spawn(self.usual(20, 'GET', '/stock/17', 1500))
        await self.come(self.send, BEFORE_KILL_S)
        if len(self.crashes_s) < 3:
            return False, f'only {len(self.crashes_s)} crashes before the kill'
        if self.trouble:
            await self.kill_all()
        await self.until_ready(20)
        await asyncio.sleep(STABLE_S + 0.5)  # until they are in touch
        await self.come(self.send, AFTER_KILL_S)
        return self.judge()


if __name__ == '__main__':
    run_case(Case, sys.argv[1])
