"""Requests that crash servers, beside others that are answered."""

import asyncio
import contextlib
import json
from typing import Any, Final
from unittest import mock

import testtools

from ...core.clock import now_s
from ...http1.body import REPLAY_LIMIT_BYTES
from ...routing.fingerprints import fingerprint_of
from ...routing.quarantine import Quarantine
from ...standin.documents import make_route
from ...standin.scripted_backend import (
    ReceivedRequest,
    Script,
    ScriptedBackend,
    Writer,
    crash_after,
    crash_server,
    crash_within,
    never_respond,
    serve_request,
)
from .. import trials
from .rig import CONFIG_TOPIC, HOST, LOOK, Rig, make_config, run_scenario

SERVERS: Final = 6
ROUNDS: Final = 4
CRASHED: Final = 2  # before a request is refused
LEFT_S: Final = 0.1  # after which a caller leaves
STAY_S: Final = 1.0  # longer than a server runs
CRASH_S: Final = 0.3  # after which a server crashes
DETECTED_S: Final = 0.15  # after a crash, by the VM that sent the request
HEAD: Final = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s.1\r\n'
)
SHORT: Final = b'%b\r\nrrrr' % HEAD  # ends with its connection
CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n4\r\nrrrr\r\n'
LARGE: Final = bytes(REPLAY_LIMIT_BYTES + 1)
BAD_UPLOAD: Final = b'x' * len(LARGE)
PAY: Final = fingerprint_of(
    '', HOST.encode(), b'POST', b'/pay/1', size=None, body=(b'x',)
)
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


async def crash_for_bad_upload(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Crash at one of two uploads of the same length."""
    bad = req.body == BAD_UPLOAD
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


async def call_and_leave(
    rig: Rig, number: int, deadline_ms: float, leave_s: float
) -> None:
    """Send a request through the VMs in turn, and leave if it takes long."""
    call = rig.call(
        '/pay/1',
        f'{BAD}{number}',
        b'x',
        node=number % len(rig.nodes),
        deadline_ms=int(deadline_ms),
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(leave_s):
            await call


def strike_twice(rig: Rig) -> Quarantine:
    """Put the request in quarantine; return the record of it."""
    quarantine = rig.nodes[0].trials.quarantine
    for name in ('gone', 'gone-too'):
        quarantine.strike(PAY, name, now_s())
    return quarantine


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

    def test_answer_to_another_large_upload(self) -> None:
        """It cleared one above the size that is kept for replay."""
        with without_trials():
            run_scenario(self._uploads)

    async def _uploads(self, rig: Rig) -> None:
        await rig.start(backends=SERVERS)
        route = make_route(pathPrefix='/up/', type='upload')
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2, up=route))
        await rig.until(lambda: rig.nodes[0].view.version == 2)
        for backend in rig.backends.values():
            backend.script = crash_for_bad_upload
        for number in range(ROUNDS):
            await rig.call('/up/1', f'{BAD}{number}', BAD_UPLOAD)
            await asyncio.sleep(DETECTED_S)
            good = await rig.call('/up/1', f'{GOOD}{number}', LARGE)
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


class TestAbandonedCopies(testtools.TestCase):
    """A server that crashes when nobody awaits its answer is counted."""

    def test_caller_that_leaves(self) -> None:
        """Nobody noticed a crash after its caller had left."""
        self._play(crash_after(CRASH_S), deadline_ms=1500, leave_s=LEFT_S)

    def test_deadline_that_passes(self) -> None:
        """Nor one after the caller had got its 504."""
        self._play(crash_after(CRASH_S), deadline_ms=200)

    def test_connection_that_is_lost(self) -> None:
        """Nor one after a reset that the server survived at first."""
        self._play(crash_after(CRASH_S, reset_first=True))

    def _play(
        self,
        script: Script,
        deadline_ms: int = 1500,
        leave_s: float = STAY_S,
    ) -> None:
        async def play(rig: Rig) -> None:
            await rig.start(backends=SERVERS, gateways=2)
            for backend in rig.backends.values():
                backend.script = script
            for number in range(ROUNDS):
                await call_and_leave(rig, number, deadline_ms, leave_s)
                await asyncio.sleep(CRASH_S + DETECTED_S)
            self.assertEqual(CRASHED, count_runs(rig, BAD))

        with without_trials():
            run_scenario(play)

    def test_trial_whose_caller_leaves(self) -> None:
        """Its crash is one of a trial, which puts off the next one."""
        with mock.patch.object(trials, 'TRIAL_DELAYS_S', (0.05, 60.0)):
            run_scenario(self._leave_trial)

    async def _leave_trial(self, rig: Rig) -> None:
        await rig.start(backends=SERVERS)
        quarantine = strike_twice(rig)
        for backend in rig.backends.values():
            backend.script = crash_after(CRASH_S)
        await asyncio.sleep(LEFT_S)
        await call_and_leave(rig, 0, 1500, LEFT_S)
        await rig.until(lambda: quarantine.failed_trials(PAY))
        await asyncio.sleep(DETECTED_S)
        await call_and_leave(rig, 1, 1500, LEFT_S)
        self.assertEqual(1, count_runs(rig, BAD))

    def test_trial_that_outlives_its_caller(self) -> None:
        """What the server shows counts for the callers that wait for it."""
        with mock.patch.object(trials, 'TRIAL_DELAYS_S', (0.05, 60.0)):
            run_scenario(self._answer_left_trial)

    async def _answer_left_trial(self, rig: Rig) -> None:
        await rig.start()
        quarantine = strike_twice(rig)
        for backend in rig.backends.values():
            backend.service_s = CRASH_S
        await asyncio.sleep(LEFT_S)
        await call_and_leave(rig, 0, 1500, LEFT_S)
        await rig.until(lambda: not quarantine.is_suspect(PAY))

    def test_server_that_leaves(self) -> None:
        """Its planned end is no crash."""
        run_scenario(self._leave_with_server)

    async def _leave_with_server(self, rig: Rig) -> None:
        await rig.start(backends=1)
        server = rig.backends['b0']
        server.script = never_respond
        await call_and_leave(rig, 0, 1500, LEFT_S)
        rig.register(server, state='draining')
        detector = rig.nodes[0].crash_detector
        await rig.until(lambda: rig.nodes[0].view.servers['b0'].draining)
        self.assertTrue(detector.copies.has('b0'))
        await server.crash()
        await rig.until(lambda: not detector.copies.has('b0'))
        self.assertFalse(rig.nodes[0].trials.quarantine.is_suspect(PAY))

    def test_watch_ends(self) -> None:
        """No connection and no task remain of a copy that did no harm."""
        run_scenario(self._end_watch)

    async def _end_watch(self, rig: Rig) -> None:
        await rig.start(backends=1)
        server = rig.backends['b0']
        server.script = never_respond
        await call_and_leave(rig, 0, 2 * 1000 * LEFT_S, LEFT_S)
        detector = rig.nodes[0].crash_detector
        await rig.until(lambda: detector._watches)
        await rig.until(lambda: not detector._tasks)
        self.assertFalse(detector._watches or detector.copies.has('b0'))
        await rig.until(lambda: server.connections == server.closed)


class TestTrialsBesideCrashes(testtools.TestCase):
    """A trial that is lost with other servers proves nothing."""

    def test_service_that_crashes(self) -> None:
        """All VMs refused a sound path after its servers were back."""
        self._play('stock')

    def test_domain_that_crashes(self) -> None:
        """The other servers of the domain may be of another service."""
        self._play('other')

    def _play(self, service: str) -> None:
        async def play(rig: Rig) -> None:
            await rig.start(backends=1)
            document = json.loads(make_config(2))
            document['services']['other'] = document['services']['stock']
            rig.store.put(CONFIG_TOPIC, 'config', json.dumps(document).encode())
            for name in ('c0', 'c1'):
                backend = ScriptedBackend(name)
                await backend.start()
                rig.backends[name] = backend
                rig.register(backend, service=service)
            view = rig.nodes[0].view
            await rig.until(lambda: view.servers.keys() >= {'b0', 'c0', 'c1'})
            quarantine = strike_twice(rig)
            for backend in rig.backends.values():
                backend.script = never_respond
            await asyncio.sleep(LEFT_S)
            trial = asyncio.create_task(call_and_leave(rig, 0, 1500, STAY_S))
            await rig.until(lambda: count_runs(rig, BAD))
            for backend in rig.backends.values():
                await backend.crash()
            await trial
            schedule = rig.nodes[0].trials.schedule
            await rig.until(lambda: not schedule.is_pending(PAY))
            self.assertEqual(0, quarantine.failed_trials(PAY))
            await rig.add_backend('back')
            await rig.until(lambda: 'back' in rig.nodes[0].view.servers)
            await asyncio.sleep(STAY_S)
            await call_and_leave(rig, 1, 1500, STAY_S)
            self.assertFalse(quarantine.is_suspect(PAY))

        with mock.patch.object(trials, 'TRIAL_DELAYS_S', (0.05, 60.0)):
            run_scenario(play)
