"""Send requests at a set rate, whatever the answers, and time them."""

import asyncio
import collections
import random
import secrets
import time
from typing import Any, Final

import aiohttp
import attrs
from hdrh.histogram import HdrHistogram

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 60_000_000
_DIGITS: Final = 3
_HALF: Final = 0.5
_MEDIAN: Final = 50
_P99: Final = 99
_P99_9: Final = 99.9
_MICRO: Final = 1_000_000
_PATH: Final = '/call'
_SUFFIX_BYTES: Final = 8
_FAILED: Final = 'connection'


@attrs.frozen(kw_only=True)
class LoadPlan:
    """Describe a load: who calls what, how often, how long."""

    directory: str  # address of any entry VM
    service: str
    customers: tuple[str, ...]
    rate: float  # requests per second
    seconds: float
    once_share: float = 0  # of requests that must not repeat
    body_bytes: int = 0
    deadline_ms: int = 2000
    seed: int = 1
    direct: str = ''  # a backend server's address for every second request


@attrs.define
class LoadResult:
    """Count outcomes and time them from the planned moment of sending."""

    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter,
    )
    histogram: Any = attrs.field(
        factory=lambda: HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS),
    )

    direct: Any = attrs.field(
        factory=lambda: HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS),
    )

    def plain(self) -> dict[str, Any]:
        """Give the result as plain values."""
        through = _quantiles(self.histogram)
        found = {'outcomes': dict(self.outcomes), **through}
        if self.direct.total_count:
            direct = _quantiles(self.direct)
            found['direct'] = direct
            found['added'] = {
                name: round(through[name] - direct[name], 3) for name in direct
            }
        return found


def _quantiles(histogram: Any) -> dict[str, float]:
    return {
        f'p{percent}_ms': histogram.get_value_at_percentile(percent) / 1000
        for percent in (_MEDIAN, _P99, _P99_9)
    }


@attrs.define
class _Caller:
    plan: LoadPlan
    http: aiohttp.ClientSession
    result: LoadResult
    rng: random.Random
    entries: list[dict[str, Any]] = attrs.field(factory=list)
    expires_at: float = 0

    async def refresh(self) -> None:
        if time.monotonic() < self.expires_at:
            return
        known = [entry['address'] for entry in self.entries]
        for address in [*known, self.plan.directory]:
            url = f'http://{address}/wagtailfork/v1/directory'
            try:
                async with self.http.get(url) as answer:
                    raw = await answer.json()
            except (aiohttp.ClientError, OSError, ValueError):
                continue
            if raw['entries']:
                self.entries = raw['entries']
                self.expires_at = time.monotonic() + raw['expires_in_s']
                return

    async def send(self, planned_at: float) -> None:
        is_direct = bool(self.plan.direct) and self.rng.random() < _HALF
        if is_direct:
            await self._exchange_direct()
            took_us = (time.monotonic() - planned_at) * _MICRO
            self.result.direct.record_value(int(took_us))
            return
        outcome = await self._exchange()
        self.result.outcomes[outcome] += 1
        if outcome.startswith('1'):
            took_us = (time.monotonic() - planned_at) * _MICRO
            self.result.histogram.record_value(int(took_us))

    async def _exchange_direct(self) -> None:
        url = f'http://{self.plan.direct}{_PATH}'
        async with self.http.get(url) as answer:
            await answer.read()

    async def _exchange(self) -> str:
        entry = self.rng.choice(self.entries)
        once = self.rng.random() < self.plan.once_share
        url = f'http://{entry["address"]}/s/{self.plan.service}{_PATH}'
        try:
            async with self.http.request(
                'POST' if once else 'GET',
                url,
                headers=self._headers(entry, once=once),
                data=b'x' * self.plan.body_bytes if once else None,
            ) as answer:
                await answer.read()
                return answer.headers.get('wagtailfork-result', 'none')
        except (aiohttp.ClientError, OSError, TimeoutError):
            return _FAILED

    def _headers(self, entry: dict[str, Any], *, once: bool) -> dict[str, str]:
        headers = {
            'wagtailfork-customer': self.rng.choice(self.plan.customers),
            'wagtailfork-deadline-ms': str(self.plan.deadline_ms),
        }
        if once:
            suffix = secrets.token_hex(_SUFFIX_BYTES)
            headers['idempotency-key'] = entry['key_prefix'] + suffix
        return headers


async def run_load(plan: LoadPlan) -> LoadResult:
    """Run a load to its end."""
    rng = random.Random(plan.seed)
    connector = aiohttp.TCPConnector(limit=0)
    sending: set[asyncio.Task[None]] = set()
    async with aiohttp.ClientSession(connector=connector) as http:
        caller = _Caller(plan, http, LoadResult(), rng)
        start = time.monotonic()
        planned_at = start
        while planned_at < start + plan.seconds:
            planned_at += rng.expovariate(plan.rate)
            await caller.refresh()
            await asyncio.sleep(max(0, planned_at - time.monotonic()))
            task = asyncio.create_task(caller.send(planned_at))
            sending.add(task)
            task.add_done_callback(sending.discard)
        if sending:
            await asyncio.wait(sending)
    return caller.result
