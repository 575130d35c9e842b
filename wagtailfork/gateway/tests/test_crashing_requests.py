"""Requests that crash servers, beside others that are answered."""

import asyncio
import json
from typing import Any, Final
from unittest import mock

import testtools

from ...standin.documents import make_route
from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    crash_server,
    serve_request,
)
from .. import trials
from .rig import CONFIG_TOPIC, Rig, run_scenario

SERVERS: Final = 6
ROUNDS: Final = 4
CRASHED: Final = 2  # before a request is refused
DETECTED_S: Final = 0.15  # after a crash, by the VM that sent the request
GOOD: Final = 'good'
BAD: Final = 'bad'


def make_customers_config(version: int) -> bytes:
    """Return a configuration with two customers of one route."""
    document = {
        'version': version,
        'routes': {'look': make_route()},
        'services': {'stock': {'healthPath': '/health', 'maxConns': 100}},
        'tenants': {name: {'apiKeys': [name]} for name in (GOOD, BAD)},
    }
    return json.dumps(document).encode()


async def crash_for_bad_customer(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Crash at any request of one customer."""
    bad = req.headers.get('tenant') == BAD
    await (crash_server if bad else serve_request)(backend, req, writer)


def without_trials() -> Any:
    """Put off all trials beyond the end of a test."""
    return mock.patch.object(trials, 'TRIAL_DELAYS_S', (60.0,))


def count_runs(rig: Rig, prefix: str) -> int:
    """Count the runs of requests whose ids begin so."""
    return sum(name.startswith(prefix) for name in rig.runs())


class TestSameRequest(testtools.TestCase):
    """Only answers to the same request clear it."""

    def test_answer_to_another_customer(self) -> None:
        """It cleared the request of a customer that crashed each server."""
        with without_trials():
            run_scenario(self._customers)

    async def _customers(self, rig: Rig) -> None:
        await rig.start(backends=SERVERS)
        rig.store.put(CONFIG_TOPIC, 'config', make_customers_config(2))
        await rig.until(lambda: rig.nodes[0].view.version == 2)
        for backend in rig.backends.values():
            backend.script = crash_for_bad_customer
        for number in range(ROUNDS):
            await rig.call('/look/1', f'{BAD}{number}', key=BAD.encode())
            await asyncio.sleep(DETECTED_S)
            good = await rig.call(
                '/look/1', f'{GOOD}{number}', key=GOOD.encode()
            )
            self.assertEqual(200, good.status)
        self.assertEqual(CRASHED, count_runs(rig, BAD))
