"""Histories of restores, checked against what the servers are."""

import contextlib
from collections.abc import Iterator, Mapping
from typing import Any
from unittest import mock

import testtools
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from ...fleet.position import NO_POSITION, Position
from .. import departures, view
from ..model import BackendServer
from ..view import View
from .restore_machine import RestoreMachine

LIMITS = settings(
    max_examples=200,
    stateful_step_count=50,
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


class ForgetfulView(View):
    """Take the entries of a restored store as they are."""

    def _reject_outdated(self, found: BackendServer, source: str) -> bool:
        """Accept any entry."""
        return False


class OffsetView(View):
    """Compare offsets without their era."""

    def replace_servers(
        self,
        table: Mapping[str, bytes],
        position: Position,
        source: str,
        set_aside: Mapping[str, bytes] | None = None,
    ) -> None:
        """Ignore a table that ends at a lower offset."""
        known = self.position != NO_POSITION
        if not known or position.offset >= self.position.offset:
            super().replace_servers(table, position, source, set_aside)


class TestRestoreHistories(testtools.TestCase):
    """Views follow the servers through any order of restores."""

    def test_views_follow_the_servers(self) -> None:
        """No VM goes back, or uses a process that it saw draining."""
        machine = _make_machine(View)
        with _clock_of(machine):
            run_state_machine_as_test(machine, settings=LIMITS)

    def test_checks_detect_forgotten_departures(self) -> None:
        """Without departures, a server that drains comes back."""
        _play_drain(_make_machine(View))
        self.assertRaises(
            AssertionError, _play_drain, _make_machine(ForgetfulView)
        )

    def test_checks_detect_offsets_without_eras(self) -> None:
        """Without eras, the table stands still after a restore."""
        _play_removal(_make_machine(View))
        self.assertRaises(
            AssertionError, _play_removal, _make_machine(OffsetView)
        )


def _make_machine(view_type: type[View]) -> Any:
    fields = {'view_type': view_type, 'clock_s': 0}
    return type('Machine', (RestoreMachine,), fields)


@contextlib.contextmanager
def _clock_of(machine: Any) -> Iterator[None]:
    with (
        mock.patch.object(view, 'now_s', lambda: machine.clock_s),
        mock.patch.object(departures, 'now_s', lambda: machine.clock_s),
    ):
        yield


def _play_drain(machine: Any) -> None:
    """Let a server drain in the seconds that a restore undoes."""
    with _clock_of(machine):
        history = machine()
        history.start('s0')
        history.read(0)
        history.drain('s0')
        history.read(0)
        history.drained_processes_stay_out()
        history.restore(1)
        history.read(0)
        history.drained_processes_stay_out()


def _play_removal(machine: Any) -> None:
    """Let a server leave after a restore."""
    with _clock_of(machine):
        history = machine()
        for name in ('s0', 's1') * 3:
            history.start(name)
        history.read(0)
        history.restore(4)
        history.leave('s0')
        history.teardown()
