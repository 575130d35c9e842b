"""A request crashes each endpoint that begins to answer it."""

import os
import sys

from stand_ins import REFILL_ORDER, STOCK_CHECK, CrashingRequest, run_case

# For comparison, PART=0 lets an endpoint fall over before it answers.
PART = os.environ.get('PART', '1') != '0'
PATH = '/refill/17'
GOOD = b'{"rack": 17, "cartons": 2}'
BAD = b'{"rack": 17, "cartons": -1}'


class Case(CrashingRequest):
    """The small site's unsafe and safe route, and one bad refill order."""

    def __init__(self, folder):
        super().__init__(
            folder,
            {'zaliha': (14, 0.16), 'narudzba': (8, 0.21)},
            {'stock-check': STOCK_CHECK, 'refill-order': REFILL_ORDER},
        )

    async def on_run(self, endpoint, writer, rid, target, headers, body):
        if body != BAD:
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
        await self.fall_over(endpoint)
        return False

    async def send(self, gateway):
        await self.ask(gateway, 'POST', PATH, 2000, BAD, bad=True)

    async def run(self):
        self.spawn(self.usual(20, 'GET', '/stock/17', 1500))
        self.spawn(self.usual(10, 'POST', PATH, 2000, GOOD))
        await self.come(self.send)
        return self.judge()


if __name__ == '__main__':
    run_case(Case, sys.argv[1])
