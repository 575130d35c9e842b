"""One tenant's request crashes endpoints; others ask for the same path."""

import sys

from stand_ins import STOCK_CHECK, CrashingRequest, run_case

PATH = '/stock/board'
TENANTS = {'bad': {'apiKeys': ['key-bad']}, 'good': {'apiKeys': ['key-good']}}


class Case(CrashingRequest):
    """A safe route of the small site, with two tenants."""

    comes_each_s = 2.0

    def __init__(self, folder):
        super().__init__(
            folder,
            {'zaliha': (14, 0.16)},
            {'stock-check': STOCK_CHECK},
            TENANTS,
        )
        self.more_settings = {'revocation_limit_ms': 5000}

    async def on_run(self, endpoint, writer, rid, target, headers, body):
        if headers.get('tenant') != 'bad':
            return True
        self.arrivals_s.append(self.record.now())
        if not self.trouble:
            return True
        await self.fall_over(endpoint)
        return False

    async def send(self, gateway):
        await self.ask(gateway, 'GET', PATH, 1500, key='key-bad', bad=True)

    async def run(self):
        self.spawn(self.usual(20, 'GET', PATH, 1500, key='key-good'))
        await self.come(self.send)
        return self.judge()


if __name__ == '__main__':
    run_case(Case, sys.argv[1])
