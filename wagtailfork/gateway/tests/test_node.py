"""Request handling of a gateway on the platform's stand-ins."""

import asyncio
import json
from typing import Any
from unittest import mock

import attrs
import testtools

from ...core.clock import now_s
from ...standin.documents import make_route
from ...standin.scripted_backend import (
    crash_server,
    lose_response,
    never_respond,
    respond_twice,
    serve_request,
    shed_request,
    truncate_response,
)
from .. import trials
from ..placement_client import PlacementClient
from .rig import (
    CONFIG_TOPIC,
    LOOK,
    SERVERS_TOPIC,
    Rig,
    make_config,
    run_scenario,
)


class TestPath(testtools.TestCase):
    """Requests are served, or refused with a correct status."""

    def test_passes_on_what_the_caller_sent(self) -> None:
        """The server receives id, deadline, its own name and the body."""
        run_scenario(self._serve)

    async def _serve(self, rig: Rig) -> None:
        await rig.start()
        response = await rig.call('/pay/1?x=2', body=b'money')
        self.assertEqual(200, response.status)
        self.assertEqual(b'done', response.body.payload())
        self.assertEqual(b's.1', response.find(b'server-signature'))
        self.assertEqual(['r1'], rig.runs())
        served = [one for b in rig.backends.values() for one in b.runs][0]
        self.assertEqual(('POST', '/pay/1?x=2'), (served.method, served.path))
        self.assertEqual(b'money', served.body)
        self.assertLessEqual(int(served.headers['request-deadline-ms']), 1500)
        self.assertIn(served.headers['target-instance'], rig.backends)

    def test_unknown_route_needs_a_configuration(self) -> None:
        """Before the first configuration, the status is 503."""
        run_scenario(self._unknown)

    async def _unknown(self, rig: Rig) -> None:
        await rig.start_store()
        node = rig.add_gateway('vm0')
        await rig.until(lambda: node.callers.port())
        self.assertEqual(503, (await rig.call('/look/1')).status)
        ready = await rig.get(node.cfg.ready_address, '/v1/ready')
        self.assertEqual(503, ready.status)
        rig.store.put(CONFIG_TOPIC, 'config', make_config(1))
        await rig.until(node.is_ready)
        self.assertEqual(404, (await rig.call('/nowhere/')).status)

    def test_directory_names_ready_vms(self) -> None:
        """Neighbours stop listing a VM that shuts down."""
        run_scenario(self._directory)

    async def _directory(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        first, second = rig.nodes
        both = {first.cfg.caller_address, second.cfg.caller_address}
        await rig.until(lambda: set(first._addresses('r', 'a')) == both)
        target = '/v1/resolve?name=x&region=r&zone=a'
        response = await rig.get(first.cfg.directory_address, target)
        resolved = json.loads(response.body.payload())
        self.assertEqual(both, set(resolved['addresses']))
        second.request_stop()
        rest = [first.cfg.caller_address]
        await rig.until(lambda: first._addresses('r', 'a') == rest)


class TestRepeats(testtools.TestCase):
    """Only requests that may be repeated are sent twice."""

    def test_lost_unsafe_request_is_never_sent_again(self) -> None:
        """A lost response results in 502, with one run."""
        run_scenario(self._unsafe_lost)

    async def _unsafe_lost(self, rig: Rig) -> None:
        await rig.start()
        _script_all(rig, lose_response)
        response = await rig.call('/pay/1', body=b'x')
        self.assertEqual(502, response.status)
        self.assertEqual(['r1'], rig.runs())

    def test_safe_request_is_sent_again_after_a_loss(self) -> None:
        """Another server responds."""
        run_scenario(self._safe_lost)

    async def _safe_lost(self, rig: Rig) -> None:
        await rig.start()
        rig.backends['b0'].script = lose_response
        for number in range(4):
            response = await rig.call('/look/1', request_id=f'r{number}')
            self.assertEqual(200, response.status)

    def test_shed_unsafe_request_is_sent_elsewhere(self) -> None:
        """A server that shed the request allows a send to another."""
        run_scenario(self._unsafe_shed)

    async def _unsafe_shed(self, rig: Rig) -> None:
        await rig.start()
        rig.backends['b0'].script = shed_request
        for number in range(4):
            response = await rig.call('/pay/1', f'r{number}', b'x')
            self.assertEqual(200, response.status)
        self.assertEqual(4, len(rig.runs()))

    def test_shed_by_all_is_refused(self) -> None:
        """The status is 503 with a retry-after header, and nothing ran."""
        run_scenario(self._all_shed)

    async def _all_shed(self, rig: Rig) -> None:
        await rig.start()
        _script_all(rig, shed_request)
        response = await rig.call('/pay/1', body=b'x')
        self.assertEqual(503, response.status)
        self.assertIsNotNone(response.find(b'retry-after'))
        self.assertEqual([], rig.runs())

    def test_silent_server_ends_in_gateway_timeout(self) -> None:
        """A request that may have run results in 504, never in 503."""
        run_scenario(self._silent)

    async def _silent(self, rig: Rig) -> None:
        await rig.start()
        _script_all(rig, never_respond)
        response = await rig.call('/pay/1', body=b'x', deadline_ms=300)
        self.assertEqual(504, response.status)


class TestFraming(testtools.TestCase):
    """Bytes that belong to no request are not forwarded to a caller."""

    def test_second_response_is_discarded(self) -> None:
        """The connection on which it arrived is not used again."""
        run_scenario(self._twice)

    async def _twice(self, rig: Rig) -> None:
        await rig.start(backends=1)
        _script_all(rig, respond_twice)
        for number in range(3):
            response = await rig.call('/pay/1', f'r{number}', b'x')
            self.assertEqual(b'done', response.body.payload())
            self.assertEqual(
                f'r{number}'.encode(),
                response.find(b'request-id'),
            )

    def test_truncated_response_is_not_forwarded(self) -> None:
        """The status is 502, for safe and unsafe requests."""
        run_scenario(self._cut)

    async def _cut(self, rig: Rig) -> None:
        await rig.start()
        _script_all(rig, truncate_response)
        self.assertEqual(502, (await rig.call('/pay/1', body=b'x')).status)
        self.assertEqual(502, (await rig.call('/look/1')).status)


class TestView(testtools.TestCase):
    """Configuration and servers are read from the store or from peers."""

    def test_draining_server_gets_no_requests(self) -> None:
        """No request is sent once the entry has the state draining."""
        run_scenario(self._drain)

    async def _drain(self, rig: Rig) -> None:
        await rig.start()
        leaving = rig.backends['b0']
        rig.register(leaving, state='draining')
        node = rig.nodes[0]
        await rig.until(lambda: node.view.servers['b0'].draining)
        before = len(leaving.arrivals)
        for number in range(6):
            await rig.call('/look/1', f'r{number}')
        self.assertEqual(before, len(leaving.arrivals))

    def test_start_without_store_fetches_from_peer(self) -> None:
        """A new VM fetches a snapshot from the VM that it contacts."""
        run_scenario(self._from_peer)

    async def _from_peer(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        rig.store.faults.status = 503
        late = rig.add_gateway('vm2')
        late.link.heartbeats.request_heartbeats([rig.nodes[0].membership.me])
        await rig.until(late.is_ready)
        self.assertEqual(1, late.view.version)

    def test_older_configuration_is_never_taken(self) -> None:
        """Only a higher version is put in force."""
        run_scenario(self._older)

    async def _older(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        rig.store.put(CONFIG_TOPIC, 'config', make_config(7))
        await rig.until(lambda: node.view.version == 7)
        rig.store.put(CONFIG_TOPIC, 'config', make_config(3))
        newer = make_config(9, look=make_route(pathPrefix='/new/'))
        rig.store.put(CONFIG_TOPIC, 'config', newer)
        await rig.until(lambda: node.view.version == 9)
        self.assertEqual(200, (await rig.call('/new/1')).status)

    def test_trimmed_history_is_listed_again(self) -> None:
        """A key that is missing from a new listing is removed."""
        run_scenario(self._forgotten)

    async def _forgotten(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        rig.store.delete_key(SERVERS_TOPIC, 'b1')
        rig.store.truncate(SERVERS_TOPIC)
        await rig.until(lambda: 'b1' not in node.view.servers)
        self.assertIn('b0', node.view.servers)

    def test_broken_entry_leaves_the_others(self) -> None:
        """An unreadable entry adds no server and replaces none."""
        run_scenario(self._broken)

    async def _broken(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        rig.store.put(SERVERS_TOPIC, 'b9', b'{"service": 4}')
        rig.store.put(SERVERS_TOPIC, 'b0', b'\xff')
        position = node.view.position.offset + 2
        await rig.until(lambda: node.view.position.offset >= position)
        self.assertEqual({'b0', 'b1'}, set(node.view.servers))


def _script_all(rig: Rig, script: object) -> None:
    for backend in rig.backends.values():
        backend.script = script  # type: ignore[assignment]


class TestCrashes(testtools.TestCase):
    """The number of servers that one request can crash is bounded."""

    def test_crashing_request_is_refused_everywhere(self) -> None:
        """After two crashed servers, no VM sends it before a trial is due."""
        with mock.patch.object(trials, 'TRIAL_DELAYS_S', (60.0,)):
            run_scenario(self._crash)

    async def _crash(self, rig: Rig) -> None:
        await rig.start(backends=4, gateways=2)
        for backend in rig.backends.values():
            backend.script = crash_server
        for number in range(4):
            path = '/pay/poison'
            await rig.call(path, f'p{number}', b'x', node=number % 2)
            await asyncio.sleep(0.3)
        self.assertEqual(2, len(rig.runs()))

    def test_queued_copy_is_not_sent(self) -> None:
        """Copies that waited for a slot crashed servers after the strikes."""
        run_scenario(self._strike_queued)

    async def _strike_queued(self, rig: Rig) -> None:
        await rig.start()
        quarantine = rig.nodes[0].trials.quarantine
        fingerprint = LOOK
        place = PlacementClient.place

        async def strike_and_place(client: PlacementClient, *args: Any) -> Any:
            for name in ('gone', 'gone-too'):
                quarantine.strike(fingerprint, name, now_s())
            return await place(client, *args)

        with mock.patch.object(PlacementClient, 'place', strike_and_place):
            response = await rig.call('/look/1')
        self.assertEqual(503, response.status)
        self.assertIsNotNone(response.find(b'retry-after'))
        self.assertEqual([], rig.runs())

    def test_trial_of_a_caller_that_leaves(self) -> None:
        """A trial that its deadline ended was taken for one that failed."""
        with mock.patch.object(trials, 'TRIAL_DELAYS_S', (0.05, 60.0)):
            run_scenario(self._abandon_trial)

    async def _abandon_trial(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        fingerprint = LOOK
        for name in ('gone', 'gone-too'):
            node.trials.quarantine.strike(fingerprint, name, now_s())
        _script_all(rig, never_respond)
        await asyncio.sleep(0.2)
        response = await rig.call('/look/1', 'left', deadline_ms=300)
        self.assertEqual(504, response.status)
        self.assertEqual(['left'], rig.runs())
        _script_all(rig, serve_request)
        await asyncio.sleep(0.6)
        response = await rig.call('/look/1', 'next')
        self.assertEqual(200, response.status)

    def test_new_vm_receives_strikes(self) -> None:
        """A VM that starts later refuses the same requests."""
        run_scenario(self._crash_then_start)

    async def _crash_then_start(self, rig: Rig) -> None:
        await rig.start(backends=3)
        old = rig.nodes[0]
        for name in ('b0', 'b1'):
            old.trials.quarantine.strike('0000beef', name, now_s())
        late = rig.add_gateway('vm1')
        quarantine = late.forwarder.quarantine
        await rig.until(lambda: quarantine.is_refused('0000beef', now_s()))


class TestSettings(testtools.TestCase):
    """Settings can change while the gateway runs."""

    def test_reload_keeps_serving(self) -> None:
        """New limits apply without a restart."""
        run_scenario(self._reload)

    async def _reload(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        node.reload(attrs.evolve(node.cfg, log_lines_per_s=7))
        self.assertEqual(7, node.log.lines_per_s)
        self.assertEqual(200, (await rig.call('/look/1')).status)
