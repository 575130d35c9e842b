"""Scenarios: what goes wrong, and how much load there is at which time."""

from collections.abc import Callable
from typing import Final

import attrs

from .fakes import FakeServer

Event = Callable[[list[FakeServer]], None]


@attrs.frozen(kw_only=True)
class Shape:
    """Describe a deployment's size."""

    name: str
    entries: int
    endpoints: int
    slots: int = 4
    median_ms: float = 8
    hop_ms: float = 1  # between entry VMs, and to backend servers


BROLLYBOX: Final = Shape(name='brollybox', entries=15, endpoints=20)
KARTOLINA: Final = Shape(name='kartolina', entries=12, endpoints=15, hop_ms=0.5)


@attrs.frozen(kw_only=True)
class Scenario:
    """Describe a load as a share of all slots, and one event."""

    name: str
    load: float  # share of the slots kept busy
    greedy: float = 0  # the share of calls of one greedy customer
    rush: float = 0  # the share from the middle on, 0 for no rush
    event: Event | None = None
    lies: bool = False  # whether reports say that every server is idle


def _slow_one(servers: list[FakeServer]) -> None:
    servers[0].slowness = 10


def _slow_third(servers: list[FakeServer]) -> None:
    for server in servers[::3]:
        server.slowness = 2


def _fail_one(servers: list[FakeServer]) -> None:
    servers[0].failing = True


def _drain_two(servers: list[FakeServer]) -> None:
    for server in servers[:2]:
        server.draining = True


def _restart_two(servers: list[FakeServer]) -> None:
    for server in servers[:2]:
        server.slowness = 4


SCENARIOS: Final = (
    Scenario(name='steady-50', load=0.5),
    Scenario(name='steady-70', load=0.7),
    Scenario(name='steady-85', load=0.85),
    Scenario(name='steady-95', load=0.95),
    Scenario(name='straggler-85', load=0.85, event=_slow_one),
    Scenario(name='rush-28-85', load=0.28, rush=0.85),
    Scenario(name='rush-50-150', load=0.5, rush=1.5),
    Scenario(name='fails-fast-70', load=0.7, event=_fail_one),
    Scenario(name='cold-start-70', load=0.7, event=_restart_two),
    Scenario(name='noisy-third-50', load=0.5, event=_slow_third),
    Scenario(name='drain-two-70', load=0.7, event=_drain_two),
    Scenario(name='greedy-150', load=1.5, greedy=0.75),
    Scenario(name='lying-reports-70', load=0.7, lies=True),
)
