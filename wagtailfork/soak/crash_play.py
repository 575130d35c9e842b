"""A popular path, a path that crashes its servers, and crashes of domains."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Final

import attrs

from ..core.clock import now_s
from .callers import CONNECT_TIMEOUT_S, connect
from .excuses import Disruptions
from .one_call import ask_once
from .record import Record, RequestRecord
from .servers import CRASHING_PATH, SoakServer

CRASH_DOMAIN: Final = 'crash_domain'  # a disruption
POPULAR_PATH: Final = '/look/board'
POPULAR_PER_S: Final = 60.0
CRASHING_PER_S: Final = 3.0
DEADLINE_S: Final = 1.0
# When the crashing path crashes its servers, the same in all of a play.
BEFORE: Final = 'before'  # the answer
WITHIN: Final = 'within'  # the answer
LEFT: Final = 'left'  # after its callers have left
LEAVE_S: Final = 0.03  # half of the time for which a server runs on average
MAX_DOWN_S: Final = 4.0
MIN_DOWN_S: Final = 2.0
STABLE_S: Final = 4.0  # after which changes are known at all gateways
# What was refused beside a crash is served again by then.
RECOVERED_S: Final = MAX_DOWN_S + STABLE_S
QUIET_S: Final = 4.0  # between that and the next crash of a domain
MIN_SERVED_SHARE: Final = 0.25
MIN_JUDGED: Final = 20  # in a window
WINDOW_S: Final = 4.0
MAX_LATER: Final = 3  # arrivals so long after the third crash
_THIRD: Final = 3
_SUCCESS: Final = 200


@attrs.define(eq=False, kw_only=True)
class CrashPlay:
    """Ask for both paths, and crash servers and start them again."""

    record: Record
    servers: list[SoakServer]
    rng: random.Random
    addresses: Callable[[], list[str]]
    register: Callable[[SoakServer], None]
    crashed_s: list[float] = attrs.field(factory=list)  # by the crashing path
    _downs_s: list[float] = attrs.field(factory=list)  # for any reason
    _popular: list[RequestRecord] = attrs.field(factory=list)
    _crashing: list[RequestRecord] = attrs.field(factory=list)
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)
    _domain_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _moment: str = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw the moment of the crashes."""
        self._moment = self.rng.choice((BEFORE, WITHIN, LEFT))
        for server in self.servers:
            server.crashes_within = self._moment == WITHIN

    async def run(self, until_s: float) -> None:
        """Send requests for both paths until a time."""
        await asyncio.gather(
            self._ask(POPULAR_PATH, POPULAR_PER_S, self._popular, until_s),
            self._ask(CRASHING_PATH, CRASHING_PER_S, self._crashing, until_s),
        )

    def crash_by_request(self, server: SoakServer) -> None:
        """Crash a server that began to run the crashing path."""
        self.crashed_s.append(now_s())
        self._start_task(self._restart(server))

    async def crash_domain(self) -> None:
        """Crash all servers of one failure domain at once, then keep calm."""
        async with self._domain_lock:
            domain = self.rng.choice([one.zone for one in self.servers])
            for server in self.servers:
                if server.zone == domain:
                    self._start_task(self._restart(server))
            await asyncio.sleep(RECOVERED_S + QUIET_S)

    def kinds(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return the disruptions by their names."""
        return {CRASH_DOMAIN: self.crash_domain}

    def judge(
        self, gateways: Mapping[str, Disruptions]
    ) -> list[tuple[str, RequestRecord]]:
        """Return requests that broke a rule, each with the rule."""
        found = [('BUDGET', late) for late in self._later_runs(gateways)]
        windows: dict[int, list[RequestRecord]] = {}
        for seen in self._popular:
            in_touch = gateways[seen.gateway].in_touch(seen.sent_s)
            if in_touch and self._is_recovered(seen.sent_s):
                index = int(seen.sent_s / WINDOW_S)
                windows.setdefault(index, []).append(seen)
        for judged in windows.values():
            served = [each for each in judged if each.status == _SUCCESS]
            self.record.plays['popular_judged'] += len(judged)
            self.record.plays['popular_served'] += len(served)
            if len(judged) < MIN_JUDGED:
                continue
            if len(served) < MIN_SERVED_SHARE * len(judged):
                found.append(('STARVED', judged[0]))
        return found

    def _later_runs(
        self, gateways: Mapping[str, Disruptions]
    ) -> list[RequestRecord]:
        """Return runs of the crashing path beyond those that are allowed."""
        self.record.plays['crashes_by_request'] = len(self.crashed_s)
        self.record.plays[f'crash_{self._moment}'] = len(self.crashed_s)
        if len(self.crashed_s) < _THIRD:
            return []
        since_s = self.crashed_s[_THIRD - 1] + STABLE_S
        later = [
            seen
            for seen in self._crashing
            if any(run.at_s > since_s for run in seen.runs)
            and gateways[seen.gateway].in_touch(seen.sent_s)
        ]
        self.record.plays['crashing_later'] = len(later)
        return later[MAX_LATER:]

    def _is_recovered(self, at_s: float) -> bool:
        return not any(
            down_s <= at_s < down_s + RECOVERED_S for down_s in self._downs_s
        )

    async def _ask(
        self,
        path: str,
        per_s: float,
        sent: list[RequestRecord],
        until_s: float,
    ) -> None:
        while now_s() < until_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            self._start_task(self._send(path, sent))
        await asyncio.wait(
            self._tasks, timeout=DEADLINE_S + CONNECT_TIMEOUT_S + MAX_DOWN_S
        )

    async def _send(self, path: str, sent: list[RequestRecord]) -> None:
        conn = await connect(self.rng.choice(self.addresses()))
        if conn is None:
            return
        seen = RequestRecord(
            request_id=f'{path.rpartition("/")[2]}-{len(sent)}',
            kind='look',
            gateway=conn.address,
            sent_s=now_s(),
            deadline_s=DEADLINE_S,
        )
        sent.append(seen)
        self.record.requests[seen.request_id] = seen
        leaves = path == CRASHING_PATH and self._moment == LEFT
        await ask_once(conn, seen, path, LEAVE_S if leaves else None)

    async def _restart(self, server: SoakServer) -> None:
        if not server.up:
            return
        server.crash()
        self._downs_s.append(now_s())
        await asyncio.sleep(self.rng.uniform(MIN_DOWN_S, MAX_DOWN_S))
        server.born += 1
        await server.start()
        self.register(server)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
