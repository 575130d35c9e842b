"""Deployment shapes and load scenarios for the policy benchmark."""

from collections.abc import Callable
from typing import Final

import attrs

from .fakes import FakeServer

Event = Callable[[list[FakeServer]], None]


@attrs.frozen(kw_only=True)
class Shape:
    """Describe the size of a deployment."""

    name: str
    entries: int  # entry VMs
    endpoints: int
    slots: int = 4  # per endpoint
    median_ms: float = 8  # service time
    hop_ms: float = 1  # one-way delay between entry VMs


BROLLYBOX: Final = Shape(name='brollybox', entries=15, endpoints=20)
KARTOLINA: Final = Shape(name='kartolina', entries=12, endpoints=15, hop_ms=0.5)


@attrs.frozen(kw_only=True)
class Scenario:
    """Describe a load, and an event after half of the calls."""

    name: str
    load: float  # offered load as a share of all slots
    greedy_share: float = 0  # share of calls from the greedy customer
    # Offered load in the second half of the calls; 0: no rush.
    rush_load: float = 0
    event: Event | None = None
    reports_idle: bool = False  # load reports show every server as idle


def _slow_one(servers: list[FakeServer]) -> None:
    servers[0].slowdown = 10


def _slow_third(servers: list[FakeServer]) -> None:
    for server in servers[::3]:
        server.slowdown = 2


def _fail_one(servers: list[FakeServer]) -> None:
    servers[0].failing = True


def _drain_two(servers: list[FakeServer]) -> None:
    for server in servers[:2]:
        server.draining = True


def _restart_two(servers: list[FakeServer]) -> None:
    for server in servers[:2]:
        server.slowdown = 4


SCENARIOS: Final = (
    Scenario(name='steady-50', load=0.5),
    Scenario(name='steady-70', load=0.7),
    Scenario(name='steady-85', load=0.85),
    Scenario(name='steady-95', load=0.95),
    Scenario(name='straggler-85', load=0.85, event=_slow_one),
    Scenario(name='rush-28-85', load=0.28, rush_load=0.85),
    Scenario(name='rush-50-150', load=0.5, rush_load=1.5),
    Scenario(name='fails-fast-70', load=0.7, event=_fail_one),
    Scenario(name='cold-start-70', load=0.7, event=_restart_two),
    Scenario(name='noisy-third-50', load=0.5, event=_slow_third),
    Scenario(name='drain-two-70', load=0.7, event=_drain_two),
    Scenario(name='greedy-150', load=1.5, greedy_share=0.75),
    Scenario(name='lying-reports-70', load=0.7, reports_idle=True),
)
