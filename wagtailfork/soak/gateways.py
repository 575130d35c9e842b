"""Gateway processes: started, frozen, stopped, killed and started again."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess  # noqa: S404
import sys
from http import HTTPStatus
from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..tests.rig_tools import free_port
from .excuses import GRACE_S, Disruptions
from .plan import REGIONS
from .wire import read_head

RESTART_DELAY_S: Final = 0.3
POLL_S: Final = 0.05
READY_POLL_S: Final = 0.1
READY_TIMEOUT_S: Final = 1.0
RETRIES: Final = {'ratio': 0.2, 'slack': 56, 'window_s': 10}
_ENDING: Final = frozenset((signal.SIGTERM, signal.SIGKILL))
_LOG_LINES_PER_S: Final = 2000
_DETOURS: Final = pathlib.Path(__file__).with_name('detours.py')


def _address() -> str:
    return f'127.0.0.1:{free_port()}'


@attrs.define(eq=False)
class GatewayProcess:
    """Run one gateway; ``checkout`` is the tree of the build to run."""

    vm: str
    domain: str
    store_address: str
    folder: pathlib.Path
    checkout: str = ''
    revocation_limit_ms: float | None = None
    # Addresses that it reaches by way of others.
    detours: dict[str, str] = attrs.field(factory=dict)
    address: str = attrs.field(factory=_address)
    ready_address: str = attrs.field(factory=_address)
    directory_address: str = attrs.field(factory=_address)
    fleet_address: str = attrs.field(factory=_address)
    starts: int = 0
    disruptions: Disruptions = attrs.field(factory=Disruptions)
    ending: bool = False  # it was told to end, or was killed
    _process: 'subprocess.Popen[bytes] | None' = None

    def start(self) -> None:
        """Start the process; it logs to a file of its own."""
        settings = self.folder / f'{self.vm}.json'
        settings.write_text(json.dumps(self._settings()))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME')
            if name in os.environ
        }
        if self.checkout:
            env['PYTHONPATH'] = self.checkout
        self.starts += 1
        self.disruptions.add_trouble(now_s(), now_s())
        self.ending = False
        with (self.folder / f'{self.vm}.log').open('ab') as log:
            self._process = subprocess.Popen(  # noqa: S603
                [
                    sys.executable,
                    '-P',
                    *self._program(),
                    'gateway',
                    '--settings',
                    str(settings),
                ],
                env=env,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def ended_by_itself(self) -> bool:
        """Return whether the process ended although nobody ended it."""
        return self.starts > 0 and not self.running and not self.ending

    @property
    def exit_status(self) -> int | None:
        """Return how the process ended, negative for a signal."""
        return None if self._process is None else self._process.poll()

    @property
    def pid(self) -> int:
        """Return the id of the process, 0 before the first start."""
        return 0 if self._process is None else self._process.pid

    async def wait_ready(self, limit_s: float) -> None:
        """Wait until the process serves callers, for a limited time."""
        begun_s = now_s()
        while not await self.is_ready() and now_s() < begun_s + limit_s:
            await asyncio.sleep(READY_POLL_S)

    async def is_ready(self) -> bool:
        """Return whether the process says that it serves callers."""
        host, _, port = self.ready_address.rpartition(':')
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                head = await read_head(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        writer.close()
        return head.status == HTTPStatus.OK

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process, if it has not ended."""
        if self._process is not None and self.running:
            self.ending = self.ending or signum in _ENDING
            if signum == signal.SIGTERM:
                self.disruptions.stops.append(now_s())
            self._process.send_signal(signum)

    def resume(self) -> None:
        """Let a frozen process run again."""
        self.send_signal(signal.SIGCONT)

    def end(self) -> None:
        """Kill the process."""
        if self._process is not None and self.running:
            self._process.kill()
            self._process.wait()

    async def wait_ended(self, limit_s: float) -> bool:
        """Wait for the end of the process; return whether it has ended."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + limit_s
        while self.running and loop.time() < until_s:
            await asyncio.sleep(POLL_S)
        return not self.running

    def _program(self) -> list[str]:
        if not self.detours:
            return ['-m', 'wagtailfork']
        path = self.folder / f'{self.vm}.detours.json'
        path.write_text(json.dumps(self.detours))
        return [str(_DETOURS), str(path)]

    def _settings(self) -> dict[str, Any]:
        limit_ms = self.revocation_limit_ms
        optional = {'revocation_limit_ms': limit_ms} if limit_ms else {}
        return {
            **optional,
            'vm': self.vm,
            'region': REGIONS[self.domain],
            'failure_domain': self.domain,
            'regions': REGIONS,
            'caller_address': self.address,
            'ready_address': self.ready_address,
            'directory_address': self.directory_address,
            'fleet_address': self.fleet_address,
            'stop_grace_s': GRACE_S,
            'first_start': not self.starts,
            'store_address': self.store_address,
            'retries': RETRIES,
            'log_lines_per_s': _LOG_LINES_PER_S,
        }
