"""Test finding a failed request's cause in the logs of separate processes."""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
from typing import Any

import attrs
import testtools
from click.testing import CliRunner

from ...cli.main import main
from ...gateway.tests.rig import Rig, free_address
from ...standin.scripted_backend import (
    lose_response,
    serve_request,
    shed_request,
)

START_LIMIT_S = 20.0  # until a process serves
SLOW_WORK_S = 0.6  # service time of a slow server; the objective is 0.25 s


@attrs.define(eq=False)
class Processes:
    """Run gateways as processes that log to files."""

    rig: Rig
    folder: pathlib.Path
    callers: list[str] = attrs.field(factory=list)
    logs: list[pathlib.Path] = attrs.field(factory=list)
    running: list[asyncio.subprocess.Process] = attrs.field(factory=list)

    async def start(self, vm: str) -> None:
        """Start one gateway and wait until it is ready."""
        caller_address = free_address()
        fields = {
            'vm': vm,
            'region': 'r',
            'failure_domain': 'a',
            'regions': {'a': 'r'},
            'caller_address': caller_address,
            'ready_address': free_address(),
            'directory_address': free_address(),
            'fleet_address': free_address(),
            'store_address': self.rig.store_address,
            # A process that starts again would not retry in its first window.
            'first_start': True,
        }
        settings = self.folder / f'{vm}.json'
        settings.write_text(json.dumps(fields))
        log = self.folder / f'{vm}.log'
        with log.open('wb') as stream:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'wagtailfork',
                'gateway',
                '--settings',
                str(settings),
                stdout=stream,
            )
        self.running.append(process)
        self.logs.append(log)
        self.callers.append(caller_address)
        await self._wait_ready(fields['ready_address'])

    async def call(self, number: int, path: str, request_id: str) -> int:
        """Send one request through one gateway; return the status."""
        head = (
            f'POST {path} HTTP/1.1\r\nHost: shop.example\r\n'
            f'Request-Id: {request_id}\r\nRequest-Deadline-Ms: 1500\r\n'
            'Content-Length: 1\r\n\r\n'
        )
        address = self.callers[number]
        response = await self.rig.send_raw(address, head.encode(), b'x')
        return response.status

    async def stop(self) -> None:
        """Stop all gateways by SIGTERM."""
        for process in self.running:
            process.send_signal(signal.SIGTERM)
        for process in self.running:
            await process.wait()

    async def _wait_ready(self, address: Any) -> None:
        async with asyncio.timeout(START_LIMIT_S):
            while True:
                try:
                    response = await self.rig.get(address, '/v1/ready')
                except Exception:
                    # The gateway does not listen yet.
                    await asyncio.sleep(0.05)
                    continue
                if response.status == 200:
                    return
                await asyncio.sleep(0.05)


class TestExplain(testtools.TestCase):
    """Explain three kinds of failed request by their ids alone."""

    def test_explains_refused_lost_and_late_requests(self) -> None:
        """Explain each request, though only one VM logged it."""
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            logs = asyncio.run(self._make_logs(folder))
            refused = self._explain('q-refused', logs)
            self.assertIn('cause: refused: each server that was tried', refused)
            self.assertIn('sent_again', refused)
            self.assertIn('answered 503, stating that it did not', refused)
            self.assertIn('statement=1 named=q-refused', refused)
            self.assertRegex(refused, 'why=shed refused_by=b[01],b[01]')
            lost = self._explain('q-lost', logs)
            self.assertIn('received it, but its answer was lost', lost)
            self.assertIn('cause: failed: it may have run', lost)
            self.assertNotIn('q-refused', lost)
            late = self._explain('q-late', logs)
            self.assertIn('late:', late)
            self.assertIn('ms passed before the last send', late)
            unknown = CliRunner().invoke(main, ['explain', 'none', *logs])
            self.assertEqual(3, unknown.exit_code)
            unreadable = CliRunner().invoke(main, ['explain', 'x', name])
            self.assertEqual(1, unreadable.exit_code)
            self.assertIn('code=6005', unreadable.output)

    def _explain(self, request_id: str, logs: list[str]) -> str:
        outcome = CliRunner().invoke(main, ['explain', request_id, *logs])
        self.assertEqual(0, outcome.exit_code, outcome.output)
        return outcome.output

    async def _make_logs(self, folder: pathlib.Path) -> list[str]:
        rig = Rig()
        processes = Processes(rig, folder)
        try:
            await rig.start(gateways=0)
            await processes.start('vm1')
            await processes.start('vm2')
            await self._send_failing_requests(rig, processes)
        finally:
            await processes.stop()
            await rig.stop()
        return [str(path) for path in processes.logs]

    async def _send_failing_requests(
        self,
        rig: Rig,
        processes: Processes,
    ) -> None:
        self.assertEqual(200, await processes.call(1, '/pay/1', 'q-well'))
        _set_script(rig, shed_request)
        self.assertEqual(503, await processes.call(0, '/pay/1', 'q-refused'))
        _set_script(rig, lose_response)
        self.assertEqual(502, await processes.call(0, '/pay/1', 'q-lost'))
        _set_script(rig, serve_request)
        for backend in rig.backends.values():
            backend.service_s = SLOW_WORK_S
        await asyncio.sleep(1)
        self.assertEqual(200, await processes.call(1, '/pay/1', 'q-late'))


def _set_script(rig: Rig, script: Any) -> None:
    for backend in rig.backends.values():
        backend.script = script
