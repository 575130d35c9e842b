"""Requests that crash servers, beside others that are answered."""

import asyncio
import contextlib
import json
from typing import Any, Final
from unittest import mock

import testtools

from ...core.clock import now_s
from ...http1.body import REPLAY_LIMIT_BYTES
from ...standin.documents import make_route
from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    crash_server,
    crash_within,
    serve_request,
)
from .. import trials
from .rig import CONFIG_TOPIC, HOST, LOOK, Rig, run_scenario

SERVERS: Final = 6
ROUNDS: Final = 4
CRASHED: Final = 2  # before a request is refused
DETECTED_S: Final = 0.15  # after a crash, by the VM that sent the request
HEAD: Final = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s.1\r\n'
)
SHORT: Final = b'%b\r\nrrrr' % HEAD  # ends with its connection
CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n4\r\nrrrr\r\n'
LARGE: Final = bytes(REPLAY_LIMIT_BYTES + 1)
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


async def end_with_connection(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Answer without a length, and close the connection."""
    writer.write(SHORT.replace(b'{id}', b'r1'))
    writer.close()


async def read_to_end(rig: Rig, path: str, request_id: str) -> bytes:
    """Send a request and return all that comes until the connection ends."""
    host, _, port = rig.nodes[0].cfg.caller_address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n'
        'Connection: close\r\nContent-Length: 1\r\n\r\nx'.encode()
    )
    found = b''
    with contextlib.suppress(ConnectionError):
        found = await reader.read()
    writer.close()
    return found


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


class TestCutAnswers(testtools.TestCase):
    """A server that crashes within its answer is counted."""

    def test_answer_with_a_length(self) -> None:
        """It was sent on and on, to one server after the other."""
        self._play(b'Content-Length: 400\r\n\r\nrrrr')

    def test_chunked_answer(self) -> None:
        """The last chunk is missing."""
        self._play(CHUNKED)

    def test_answer_that_ends_with_its_connection(self) -> None:
        """The end of a process looks like that of the answer."""
        self._play(b'\r\nrrrr', reset=False)

    def test_answer_that_is_passed_on_before_its_end(self) -> None:
        """The caller has its head when the server crashes."""
        self._play(b'Content-Length: 900000\r\n\r\n%b' % LARGE)

    def _play(self, rest: bytes, *, reset: bool = True) -> None:
        async def play(rig: Rig) -> None:
            await rig.start(backends=SERVERS)
            for backend in rig.backends.values():
                backend.script = crash_within(
                    b'%b%b' % (HEAD, rest), reset=reset
                )
            for number in range(ROUNDS):
                await read_to_end(rig, '/pay/1', f'{BAD}{number}')
                await asyncio.sleep(DETECTED_S)
            self.assertEqual(CRASHED, count_runs(rig, BAD))

        with without_trials():
            run_scenario(play)

    def test_answer_of_a_sound_server(self) -> None:
        """An answer that ends with its connection clears the request."""
        run_scenario(self._sound)

    async def _sound(self, rig: Rig) -> None:
        await rig.start()
        quarantine = rig.nodes[0].trials.quarantine
        quarantine.strike(LOOK, 'gone', now_s())
        for backend in rig.backends.values():
            backend.script = end_with_connection
        self.assertEqual(200, (await rig.call('/look/1')).status)
        await rig.until(lambda: not quarantine.is_suspect(LOOK))
