"""Signals to a gateway process that has just been started."""

import json
import pathlib
import signal
import subprocess  # noqa: S404
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Sequence
from typing import Final

import testtools

from .rig import free_address

DELAYS_S: Final = (0.05, 0.15, 0.3, 0.5)  # an import of the modules takes 0.3 s
RUN_S: Final = 1.5
GRACE_S: Final = 5.0
STEP_S: Final = 0.005
PROJECT: Final = pathlib.Path(__file__).parents[3] / 'pyproject.toml'
ADDRESSES: Final = (
    'caller_address',
    'ready_address',
    'directory_address',
    'fleet_address',
    'store_address',
)


class TestEarlySignals(testtools.TestCase):
    """A change of the settings ends no process."""

    def test_reload_during_the_start(self) -> None:
        """The signal to reload reaches a process before it can handle it."""
        for delay_s in DELAYS_S:
            with self.subTest(delay_s):
                self.assertIsNone(_exit_status(delay_s))

    def test_reload_after_the_first_lines(self) -> None:
        """The signal ends no process once the program has blocked it.

        Guards against a reload that reaches a process while it imports modules,
        however long the interpreter takes to start.
        """
        for delay_s in DELAYS_S:
            with self.subTest(delay_s):
                self.assertIsNone(_exit_status(delay_s, _wait_blocked))

    def test_reload_during_the_start_of_the_script(self) -> None:
        """Regression: only ``python -m wagtailfork`` blocked the signal."""
        entry = _console_entry()
        for delay_s in DELAYS_S:
            with self.subTest(delay_s):
                status = _exit_status(delay_s, _wait_blocked, entry)
                self.assertIsNone(status)


def _no_wait(_pid: int) -> None:
    """Count the delay from the start of the process."""


def _console_entry() -> list[str]:
    """Return the command that the installed script runs."""
    project = tomllib.loads(PROJECT.read_text())['project']
    module, _, name = project['scripts']['wagtailfork'].partition(':')
    script = f'import re, sys; from {module} import {name}; sys.exit({name}())'
    return ['-c', script]


def _exit_status(
    delay_s: float,
    wait: Callable[[int], None] = _no_wait,
    entry: Sequence[str] = ('-m', 'wagtailfork'),
) -> int | None:
    """Start a gateway, ask it to reload; return its status if it ended."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(json.dumps(_settings()))
        command = [sys.executable, *entry, 'gateway']
        process = subprocess.Popen(  # noqa: S603
            [*command, '--settings', str(path)], stdout=subprocess.DEVNULL
        )
        try:
            wait(process.pid)
            time.sleep(delay_s)
            process.send_signal(signal.SIGHUP)
            time.sleep(RUN_S)
            return process.poll()
        finally:
            process.kill()
            process.wait(GRACE_S)


def _wait_blocked(pid: int) -> None:
    """Wait until the first lines of the program have run.

    They block the signal. Before them the interpreter starts, which takes
    longer than the shortest delay on a busy machine; no program can handle a
    signal then.
    """
    status = pathlib.Path(f'/proc/{pid}/status')
    give_up_s = time.monotonic() + GRACE_S
    while time.monotonic() < give_up_s:
        fields = dict(
            line.split(':', 1) for line in status.read_text().splitlines()
        )
        if int(fields['SigBlk'], 16) >> (signal.SIGHUP - 1) & 1:
            return
        time.sleep(STEP_S)
    raise AssertionError('the program never blocked the signal')


def _settings() -> dict[str, object]:
    return {
        'vm': 'vm0',
        'region': 'r',
        'failure_domain': 'a',
        'regions': {'a': 'r'},
        **{name: free_address() for name in ADDRESSES},
    }
