"""Compare what requests cost on gateways of several builds, in turns."""

import asyncio
import pathlib
import statistics
import tempfile
import time
from typing import Any, Final

import attrs

from ..soak.memory import resident_bytes
from ..standin.scripted_backend import ScriptedBackend
from .build_scene import (
    KINDS,
    LOOK,
    BuildScene,
    KeptConnection,
    RequestKind,
    make_server,
)

_MS_PER_S: Final = 1000
_MB: Final = 1048576
_PER_REQUESTS: Final = 1000
_P99: Final = 98  # index of the cut point
_PERCENT: Final = 100
_DIGITS: Final = 3


@attrs.frozen(kw_only=True)
class BuildPlan:
    """Hold the builds, the oldest first, and how much is measured."""

    checkouts: tuple[str, ...]
    rounds: int = 10
    requests: int = 300  # of each kind and build in a round, one in flight
    callers: int = 8  # at once, for the requests a second
    seconds: float = 1.0  # of these callers, for each build and round
    settle_s: float = 3.0  # after a start, and without requests


@attrs.define
class Samples:
    """Keep one figure of each build for each round."""

    builds: int
    _figures: dict[str, list[list[float]]] = attrs.field(factory=dict)

    def add(self, what: str, build: int, figure: float) -> None:
        """Add the figure of a round."""
        rounds = self._figures.setdefault(
            what, [[] for _build in range(self.builds)]
        )
        rounds[build].append(figure)

    def rows(self) -> list[dict[str, Any]]:
        """Return a row for each figure and build.

        Differences are those to the build before, round by round.

        >>> samples = Samples(2)
        >>> samples.add('x', 0, 1)
        >>> samples.add('x', 1, 3)
        >>> [row['difference'] for row in samples.rows()]
        ['', '2 (2 to 2)']
        """
        return [
            {
                'what': what,
                'build': build,
                'rounds': len(figures[build]),
                'median': _spread(figures[build]),
                'difference': _difference(figures, build),
            }
            for what, figures in self._figures.items()
            for build in range(self.builds)
        ]


def _difference(figures: list[list[float]], build: int) -> str:
    if not build:
        return ''
    pairs = zip(figures[build - 1], figures[build], strict=True)
    return _spread([new - old for old, new in pairs])


def _spread(figures: list[float]) -> str:
    """Render the median, the lowest and the highest figure."""
    parts = (statistics.median(figures), min(figures), max(figures))
    middle, low, high = (round(part, _DIGITS) for part in parts)
    return f'{middle} ({low} to {high})'


def compare_builds(plan: BuildPlan) -> list[dict[str, Any]]:
    """Return a table row for each figure and build."""
    samples = Samples(len(plan.checkouts))
    with tempfile.TemporaryDirectory() as name:
        asyncio.run(_measure(plan, samples, pathlib.Path(name)))
    return samples.rows()


async def _measure(
    plan: BuildPlan, samples: Samples, folder: pathlib.Path
) -> None:
    direct = make_server('direct')
    await direct.start()
    try:
        for number in range(plan.rounds):
            scenes = _make_scenes(plan, folder / str(number))
            await _Round(plan, samples, scenes, direct, number).run()
    finally:
        await direct.end()


def _make_scenes(plan: BuildPlan, folder: pathlib.Path) -> list[BuildScene]:
    scenes = []
    for number, checkout in enumerate(plan.checkouts):
        place = folder / str(number)
        place.mkdir(parents=True)
        scenes.append(BuildScene(checkout, place))
    return scenes


@attrs.define(eq=False)
class _Round:
    """Measure new processes of all builds, idle and then with requests."""

    plan: BuildPlan
    samples: Samples
    scenes: list[BuildScene]
    direct: ScriptedBackend
    number: int

    async def run(self) -> None:
        try:
            await self._play()
        finally:
            for scene in self.scenes:
                await scene.stop()

    async def _play(self) -> None:
        await asyncio.gather(*[scene.start() for scene in self.scenes])
        await asyncio.sleep(self.plan.settle_s)
        await self._measure_idle()
        # Before requests that servers refuse, as the gateway then spares them.
        order = range(len(self.scenes))
        for turn in order if self.number % 2 else reversed(order):
            await self._saturate(turn)
        for kind in KINDS:
            await self._measure_kind(kind)
        self._add_memory('after the load, MB resident')

    async def _measure_idle(self) -> None:
        before = [scene.gateway.processor_s() for scene in self.scenes]
        await asyncio.sleep(self.plan.settle_s)
        for build, scene in enumerate(self.scenes):
            used_s = scene.gateway.processor_s() - before[build]
            share = used_s * _PERCENT / self.plan.settle_s
            self.samples.add('idle, % of a core', build, share)
        self._add_memory('idle, MB resident')

    def _add_memory(self, what: str) -> None:
        for build, scene in enumerate(self.scenes):
            used_mb = resident_bytes(scene.gateway.pid) / _MB
            self.samples.add(what, build, used_mb)

    async def _measure_kind(self, kind: RequestKind) -> None:
        opened = await self._opened()
        self._add_times(kind.name, await self._alternate(kind))
        for build, count in enumerate(await self._opened()):
            new = (count - opened[build]) / self.plan.requests
            self._add_rate(f'{kind.name}, opened', build, new)
            sends = self.scenes[build].arrivals() / self.plan.requests
            self._add_rate(f'{kind.name}, sends', build, sends)
        self._forget()

    def _add_times(self, name: str, took: list[list[float]]) -> None:
        *through, direct = took
        for build, times in enumerate(through):
            middle = statistics.median(times) - statistics.median(direct)
            self.samples.add(f'{name}, added p50 ms', build, middle)
            late = _p99(times) - _p99(direct)
            self.samples.add(f'{name}, added p99 ms', build, late)

    def _add_rate(self, what: str, build: int, rate: float) -> None:
        self.samples.add(f'{what} for 1000', build, rate * _PER_REQUESTS)

    def _forget(self) -> None:
        for scene in self.scenes:
            scene.forget_requests()
        self.direct.runs.clear()
        self.direct.arrivals.clear()

    async def _opened(self) -> list[float]:
        return [
            await scene.gateway.opened_connections() for scene in self.scenes
        ]

    def _addresses(self) -> list[str]:
        through = [scene.gateway.address for scene in self.scenes]
        return [*through, self.direct.address]

    async def _alternate(self, kind: RequestKind) -> list[list[float]]:
        """Send one request to each in turn; return the times of each in ms."""
        conns = [KeptConnection(address) for address in self._addresses()]
        took: list[list[float]] = [[] for _conn in conns]
        for sent in range(self.plan.requests):
            raw = kind.render(kind.name[:2], sent)
            # Each is the first as often as the others.
            first = sent % len(conns)
            for index in (*range(first, len(conns)), *range(first)):
                spent_s = await _time_s(conns[index], raw, kind)
                took[index].append(spent_s * _MS_PER_S)
        for conn in conns:
            conn.close()
        return took

    async def _saturate(self, build: int) -> None:
        """Let several callers send without a pause to one gateway."""
        gateway = self.scenes[build].gateway
        opened = await gateway.opened_connections()
        used_s = gateway.processor_s()
        start = time.perf_counter()
        answered = await self._send_busily(gateway.address)
        spent_s = time.perf_counter() - start
        used_s = gateway.processor_s() - used_s
        opened = await gateway.opened_connections() - opened
        self.samples.add('busy, requests a second', build, answered / spent_s)
        self.samples.add(
            'busy, ms of processor each', build, used_s * _MS_PER_S / answered
        )
        self._add_rate('busy, opened', build, opened / answered)
        self._forget()

    async def _send_busily(self, address: str) -> int:
        until = time.perf_counter() + self.plan.seconds
        calls = [
            _call(address, f'busy{caller}', until)
            for caller in range(self.plan.callers)
        ]
        return sum(await asyncio.gather(*calls))


async def _time_s(conn: KeptConnection, raw: bytes, kind: RequestKind) -> float:
    start = time.perf_counter()
    await conn.exchange(raw, kind.statuses)
    return time.perf_counter() - start


async def _call(address: str, name: str, until: float) -> int:
    """Send without a pause until a time; return the number of answers."""
    conn = KeptConnection(address)
    answered = 0
    while time.perf_counter() < until:
        await conn.exchange(LOOK.render(name, answered))
        answered += 1
    conn.close()
    return answered


def _p99(times: list[float]) -> float:
    return statistics.quantiles(times, n=_PERCENT)[_P99]
