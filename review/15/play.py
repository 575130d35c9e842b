"""A service crashes twice in a row; who is served after it is back for good?"""

import asyncio
import os
import random
import sys
import time

from stand_ins import (
    HOST,
    REGIONS,
    Endpoint,
    Play,
    fetch,
    free_ports,
    make_route,
    render,
    run_case,
)

ENDPOINTS = 6  # of the small service, all in one zone
WORK_S = 0.62  # of replay-index in quickline-hq-grown, as the figures below
LIST_ROUTE = make_route('/replays/', 'safe', 'archive', 6000, 2000, 2)
LOOK_ROUTE = make_route('/standings/', 'safe', 'standings', 2500, 500, 2)
BUDGET_S = {'list': 12.0, 'look': 5.0}
RETRIES = 2
PER_S = {'list': 8.0, 'look': 24.0}
LENGTH_S = 75.0
DOWN_S = 4.5
# The endpoints are back from 8.5 s to 9.25 s, and for good since 13.75 s.
CRASHES_S = (4.0, 9.25)[: int(os.environ.get('CRASHES', '2'))]


class Case(Play):
    """Look-ups of one popular path, and others of a path each."""

    def __init__(self, folder):
        super().__init__(
            folder,
            {'archive': (0, WORK_S), 'standings': (16, 0.15)},
            {'replay-index': LIST_ROUTE, 'live-standings': LOOK_ROUTE},
        )
        self.lists = []
        self.sent = {'list': 0, 'look': 0}
        self.served = {'list': 0, 'look': 0}
        self.last_served_s = 0.0
        self.begun_s = 0.0

    async def start(self):
        zone = next(iter(REGIONS))
        for number in range(ENDPOINTS):
            host = f'127.60.0.{1 + number}'
            one = Endpoint(
                self, 'archive', zone, host, free_ports([host], 1)[0], WORK_S
            )
            self.lists.append(one)
            await one.start()
        await super().start()

    async def crash(self):
        """Crash all endpoints of the service, as one zone has them all."""
        for at_s in CRASHES_S:
            await asyncio.sleep(self.begun_s + at_s - self.record.now())
            for one in self.lists:
                one.crash(DOWN_S)

    async def request(self, kind):
        """Send one request, and again as requesters do; note if it is served."""
        self.sent[kind] += 1
        path = '/replays/index'
        if kind == 'look':
            path = f'/standings/{self.sent[kind]}'
        until_s = time.monotonic() + BUDGET_S[kind]
        for _ in range(1 + RETRIES):
            left_s = until_s - time.monotonic()
            if left_s <= 0.01:
                return
            status, wait_s = await self.attempt(kind, path, left_s)
            if status == 200:
                self.served[kind] += 1
                if kind == 'list':
                    self.last_served_s = self.record.now() - self.begun_s
                return
            # Retry-After is honoured up to one third of the time left.
            left_s = until_s - time.monotonic()
            await asyncio.sleep(max(0, min(wait_s, left_s / 3)))

    async def attempt(self, kind, path, left_s):
        rid = f'{random.getrandbits(64):016x}'
        gateway = random.choice(self.gateways)
        headers = [
            ('Host', HOST),
            ('Request-Id', rid),
            ('Request-Deadline-Ms', int(left_s * 1000)),
        ]
        self.record.add('sent', id=rid, machine=gateway.vm, path=path)
        status, wait_s = 0, 0.0
        try:
            status, found, _ = await fetch(
                gateway.host,
                gateway.ports[0],
                render(f'GET {path} HTTP/1.1', headers),
                left_s,
            )
            wait_s = float(found.get('retry-after', 0))
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self.record.add('no answer', id=rid, why=repr(exc))
        self.record.add('answer', id=rid, status=status, retry_after=wait_s)
        return status, wait_s

    async def flow(self, kind):
        while True:
            await asyncio.sleep(random.expovariate(PER_S[kind]))
            self.spawn(self.request(kind))

    async def run(self):
        self.begun_s = self.record.now()
        flows = [self.spawn(self.flow(kind)) for kind in PER_S]
        if self.trouble:
            self.spawn(self.crash())
        await asyncio.sleep(LENGTH_S)
        for one in flows:
            one.cancel()
        # The last requests may still be served within their time budget.
        others = [one for one in self.tasks if one not in flows]
        if others:
            await asyncio.wait(others, timeout=max(BUDGET_S.values()))
        sent, served = dict(self.sent), dict(self.served)
        share = {kind: served[kind] / sent[kind] for kind in sent}
        both = sum(served.values()) / sum(sent.values())
        why = (
            f'of {sent["list"]} look-ups of the path {served["list"]} were'
            f' served ({share["list"]:.3f}), the last one'
            f' {self.last_served_s:.1f} s after the start of traffic, of all'
            f' requests {both:.3f}; endpoints are back for good since'
            f' {CRASHES_S[-1] + DOWN_S} s'
        )
        self.record.add('verdict', why=why)
        return share['list'] < both / 4, why


if __name__ == '__main__':
    run_case(Case, sys.argv[1])
