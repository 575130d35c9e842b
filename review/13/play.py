"""A request crashes endpoints after its requester has given up."""

import asyncio
import random
import sys

from stand_ins import HOST, REFILL_ORDER, CrashingRequest, render, run_case

LEAVES_AFTER_S = 0.2  # within half the objective, 250 ms
PATH = '/refill/17'
GOOD = b'{"rack": 17, "cartons": 2}'
BAD = b'{"rack": 17, "cartons": -1}'


class Case(CrashingRequest):
    """The small site's unsafe route, and one bad refill order."""

    crash_after_s = 0.3

    def __init__(self, folder):
        super().__init__(
            folder, {'narudzba': (8, 0.21)}, {'refill-order': REFILL_ORDER}
        )

    async def on_run(self, endpoint, writer, rid, target, headers, body):
        if body != BAD:
            return True
        self.arrivals_s.append(self.record.now())
        # This endpoint doesn't drop a request when its connection closes.
        await self.fall_over(endpoint)
        return False

    async def send(self, gateway):
        if self.trouble:
            await self.give_up(gateway)
        else:
            await self.ask(gateway, 'POST', PATH, 2000, BAD, bad=True)

    async def give_up(self, gateway):
        """Send the order and close the connection before it is answered."""
        rid = f'{random.getrandbits(64):016x}'
        self.record.add('sent', id=rid, machine=gateway.vm, bad=True)
        headers = [
            ('Host', HOST),
            ('Request-Id', rid),
            ('Request-Deadline-Ms', 2000),
        ]
        reader, writer = await asyncio.open_connection(
            gateway.host, gateway.ports[0]
        )
        writer.write(render(f'POST {PATH} HTTP/1.1', headers, BAD))
        try:
            async with asyncio.timeout(LEAVES_AFTER_S):
                line = (await reader.readline()).decode().strip()
                self.record.add('answer', id=rid, line=line)
        except TimeoutError:
            self.record.add('requester leaves', id=rid)
        writer.close()

    async def run(self):
        self.spawn(self.usual(10, 'POST', PATH, 2000, GOOD))
        await self.come(self.send)
        return self.judge()


if __name__ == '__main__':
    run_case(Case, sys.argv[1])
