"""Send requests at a fixed mean rate, open loop, and time them."""

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
_SIGNIFICANT_DIGITS: Final = 3
_DIRECT_SHARE: Final = 0.5
_P50: Final = 50
_P99: Final = 99
_P99_9: Final = 99.9
_MICRO: Final = 1_000_000
_CALL_PATH: Final = '/call'
_KEY_SUFFIX_BYTES: Final = 8
_CONNECTION_FAILED: Final = 'connection'


@attrs.frozen(kw_only=True)
class LoadPlan:
    """Describe a load: service, customers, rate and duration."""

    directory: str  # address of any entry VM
    service: str
    customers: tuple[str, ...]
    rate: float  # requests per second
    seconds: float
    once_share: float = 0  # share of requests that must run at most once
    body_bytes: int = 0
    deadline_ms: int = 2000
    seed: int = 1
    direct: str = ''  # backend server to which half of the requests go directly


@attrs.define
class LoadResult:
    """Count outcomes and record latency from the planned send time."""

    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter,
    )
    histogram: Any = attrs.field(
        factory=lambda: HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        ),
    )

    direct_histogram: Any = attrs.field(
        factory=lambda: HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        ),
    )

    def as_dict(self) -> dict[str, Any]:
        """Return the result as plain values."""
        proxied = _quantiles(self.histogram)
        summary = {'outcomes': dict(self.outcomes), **proxied}
        if self.direct_histogram.total_count:
            direct = _quantiles(self.direct_histogram)
            summary['direct'] = direct
            summary['added'] = {
                name: round(proxied[name] - direct[name], 3) for name in direct
            }
        return summary


def _quantiles(histogram: Any) -> dict[str, float]:
    return {
        f'p{percent}_ms': histogram.get_value_at_percentile(percent) / 1000
        for percent in (_P50, _P99, _P99_9)
    }


@attrs.define
class _Caller:
    plan: LoadPlan
    http: aiohttp.ClientSession
    result: LoadResult
    rng: random.Random
    entries: list[dict[str, Any]] = attrs.field(factory=list)
    expires_at: float = 0

    async def refresh_directory(self) -> None:
        if time.monotonic() < self.expires_at:
            return
        known_addresses = [entry['address'] for entry in self.entries]
        for address in [*known_addresses, self.plan.directory]:
            url = f'http://{address}/wagtailfork/v1/directory'
            try:
                async with self.http.get(url) as resp:
                    document = await resp.json()
            except (aiohttp.ClientError, OSError, ValueError):
                continue
            if document['entries']:
                self.entries = document['entries']
                self.expires_at = time.monotonic() + document['expires_in_s']
                return

    async def send(self, planned_at: float) -> None:
        is_direct = bool(self.plan.direct) and self.rng.random() < _DIRECT_SHARE
        if is_direct:
            await self._exchange_direct()
            took_us = (time.monotonic() - planned_at) * _MICRO
            self.result.direct_histogram.record_value(int(took_us))
            return
        outcome = await self._exchange_via_entry()
        self.result.outcomes[outcome] += 1
        if outcome.startswith('1'):
            took_us = (time.monotonic() - planned_at) * _MICRO
            self.result.histogram.record_value(int(took_us))

    async def _exchange_direct(self) -> None:
        url = f'http://{self.plan.direct}{_CALL_PATH}'
        async with self.http.get(url) as resp:
            await resp.read()

    async def _exchange_via_entry(self) -> str:
        entry = self.rng.choice(self.entries)
        once = self.rng.random() < self.plan.once_share
        url = f'http://{entry["address"]}/s/{self.plan.service}{_CALL_PATH}'
        try:
            async with self.http.request(
                'POST' if once else 'GET',
                url,
                headers=self._headers(entry, once=once),
                data=b'x' * self.plan.body_bytes if once else None,
            ) as resp:
                await resp.read()
                return resp.headers.get('wagtailfork-result', 'none')
        except (aiohttp.ClientError, OSError, TimeoutError):
            return _CONNECTION_FAILED

    def _headers(self, entry: dict[str, Any], *, once: bool) -> dict[str, str]:
        headers = {
            'wagtailfork-customer': self.rng.choice(self.plan.customers),
            'wagtailfork-deadline-ms': str(self.plan.deadline_ms),
        }
        if once:
            suffix = secrets.token_hex(_KEY_SUFFIX_BYTES)
            headers['idempotency-key'] = entry['key_prefix'] + suffix
        return headers


async def run_load(plan: LoadPlan) -> LoadResult:
    """Run a load plan and return its result."""
    rng = random.Random(plan.seed)
    connector = aiohttp.TCPConnector(limit=0)
    pending: set[asyncio.Task[None]] = set()
    async with aiohttp.ClientSession(connector=connector) as http:
        caller = _Caller(plan, http, LoadResult(), rng)
        start = time.monotonic()
        planned_at = start
        while planned_at < start + plan.seconds:
            planned_at += rng.expovariate(plan.rate)
            await caller.refresh_directory()
            await asyncio.sleep(max(0, planned_at - time.monotonic()))
            task = asyncio.create_task(caller.send(planned_at))
            pending.add(task)
            task.add_done_callback(pending.discard)
        if pending:
            await asyncio.wait(pending)
    return caller.result
