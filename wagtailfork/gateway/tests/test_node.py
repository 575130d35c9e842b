"""The gateway's path on the platform's stand-ins."""

import asyncio
import json

import attrs
import testtools

from ...core.clock import now_s
from ...standin.documents import make_route
from ...standin.scripted_backend import (
    answer_twice,
    crash,
    cut_short,
    lose_answer,
    shed,
    stay_silent,
)
from .rig import (
    CONFIG_TOPIC,
    SERVERS_TOPIC,
    Rig,
    make_config,
    run_scenario,
)


class TestPath(testtools.TestCase):
    """Requests are served, or refused with a true status."""

    def test_passes_on_what_the_caller_sent(self) -> None:
        """The server sees id, deadline, its own name and the body."""
        run_scenario(self._serve)

    async def _serve(self, rig: Rig) -> None:
        await rig.start()
        answer = await rig.call('/pay/1?x=2', body=b'money')
        self.assertEqual(200, answer.status)
        self.assertEqual(b'done', answer.body.whole())
        self.assertEqual(b's.1', answer.find(b'server-signature'))
        self.assertEqual(['r1'], rig.runs())
        seen = [one for b in rig.backends.values() for one in b.runs][0]
        self.assertEqual(('POST', '/pay/1?x=2'), (seen.method, seen.path))
        self.assertEqual(b'money', seen.body)
        self.assertLessEqual(int(seen.headers['request-deadline-ms']), 1500)
        self.assertIn(seen.headers['target-instance'], rig.backends)

    def test_unknown_route_needs_a_configuration(self) -> None:
        """Before any configuration the answer is 503."""
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
        """A VM that leaves is no longer named by its neighbours."""
        run_scenario(self._directory)

    async def _directory(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        first, second = rig.nodes
        both = {first.cfg.caller_address, second.cfg.caller_address}
        await rig.until(lambda: set(first._addresses('r', 'a')) == both)
        target = '/v1/resolve?name=x&region=r&zone=a'
        answer = await rig.get(first.cfg.directory_address, target)
        told = json.loads(answer.body.whole())
        self.assertEqual(both, set(told['addresses']))
        second.ask_stop()
        rest = [first.cfg.caller_address]
        await rig.until(lambda: first._addresses('r', 'a') == rest)


class TestRepeats(testtools.TestCase):
    """Only what may be repeated is sent twice."""

    def test_lost_once_request_is_never_sent_again(self) -> None:
        """A lost answer ends in 502, with one run."""
        run_scenario(self._once_lost)

    async def _once_lost(self, rig: Rig) -> None:
        await rig.start()
        _script_all(rig, lose_answer)
        answer = await rig.call('/pay/1', body=b'x')
        self.assertEqual(502, answer.status)
        self.assertEqual(['r1'], rig.runs())

    def test_safe_request_is_sent_again_after_a_loss(self) -> None:
        """Another server answers."""
        run_scenario(self._safe_lost)

    async def _safe_lost(self, rig: Rig) -> None:
        await rig.start()
        rig.backends['b0'].script = lose_answer
        for number in range(4):
            answer = await rig.call('/look/1', request_id=f'r{number}')
            self.assertEqual(200, answer.status)

    def test_once_request_goes_on_after_a_shed(self) -> None:
        """A server that says that it did not run it allows another."""
        run_scenario(self._once_shed)

    async def _once_shed(self, rig: Rig) -> None:
        await rig.start()
        rig.backends['b0'].script = shed
        for number in range(4):
            answer = await rig.call('/pay/1', f'r{number}', b'x')
            self.assertEqual(200, answer.status)
        self.assertEqual(4, len(rig.runs()))

    def test_shed_by_all_is_a_true_refusal(self) -> None:
        """It is 503 with a time to come back, and nothing ran."""
        run_scenario(self._all_shed)

    async def _all_shed(self, rig: Rig) -> None:
        await rig.start()
        _script_all(rig, shed)
        answer = await rig.call('/pay/1', body=b'x')
        self.assertEqual(503, answer.status)
        self.assertIsNotNone(answer.find(b'retry-after'))
        self.assertEqual([], rig.runs())

    def test_silence_ends_without_a_promise(self) -> None:
        """A request that was sent ends in 504, never in 503."""
        run_scenario(self._silent)

    async def _silent(self, rig: Rig) -> None:
        await rig.start()
        _script_all(rig, stay_silent)
        answer = await rig.call('/pay/1', body=b'x', deadline_ms=300)
        self.assertEqual(504, answer.status)


class TestFraming(testtools.TestCase):
    """Bytes that belong to no request reach no caller."""

    def test_second_answer_reaches_nobody(self) -> None:
        """The connection that brought it is not used again."""
        run_scenario(self._twice)

    async def _twice(self, rig: Rig) -> None:
        await rig.start(backends=1)
        _script_all(rig, answer_twice)
        for number in range(3):
            answer = await rig.call('/pay/1', f'r{number}', b'x')
            self.assertEqual(b'done', answer.body.whole())
            self.assertEqual(
                f'r{number}'.encode(),
                answer.find(b'request-id'),
            )

    def test_answer_cut_short_never_looks_whole(self) -> None:
        """A once request ends in 502, a safe one at another server."""
        run_scenario(self._cut)

    async def _cut(self, rig: Rig) -> None:
        await rig.start()
        _script_all(rig, cut_short)
        self.assertEqual(502, (await rig.call('/pay/1', body=b'x')).status)
        self.assertEqual(502, (await rig.call('/look/1')).status)


class TestBeliefs(testtools.TestCase):
    """Configuration and servers come from the store or from peers."""

    def test_draining_server_gets_nothing_more(self) -> None:
        """Its entry stops new requests."""
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

    def test_start_without_store_learns_from_peer(self) -> None:
        """A VM that is greeted fetches what it lacks."""
        run_scenario(self._from_peer)

    async def _from_peer(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        rig.store.faults.status = 503
        late = rig.add_gateway('vm2')
        late.link.heartbeats.greet([rig.nodes[0].membership.me])
        await rig.until(late.is_ready)
        self.assertEqual(1, late.view.version)

    def test_older_configuration_is_never_taken(self) -> None:
        """Only a higher version comes into force."""
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

    def test_forgotten_history_is_listed_anew(self) -> None:
        """A key that the listing lacks has gone."""
        run_scenario(self._forgotten)

    async def _forgotten(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        rig.store.drop(SERVERS_TOPIC, 'b1')
        rig.store.forget(SERVERS_TOPIC)
        await rig.until(lambda: 'b1' not in node.view.servers)
        self.assertIn('b0', node.view.servers)

    def test_broken_entry_leaves_the_others(self) -> None:
        """It names no server; a known one under its name stays."""
        run_scenario(self._broken)

    async def _broken(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        rig.store.put(SERVERS_TOPIC, 'b9', b'{"service": 4}')
        rig.store.put(SERVERS_TOPIC, 'b0', b'\xff')
        position = node.view.position + 2
        await rig.until(lambda: node.view.position >= position)
        self.assertEqual({'b0', 'b1'}, set(node.view.servers))


def _script_all(rig: Rig, script: object) -> None:
    for backend in rig.backends.values():
        backend.script = script  # type: ignore[assignment]


class TestCrashes(testtools.TestCase):
    """A request that crashes servers is bounded over the fleet."""

    def test_crashing_request_is_refused_everywhere(self) -> None:
        """After two servers, no VM sends it again."""
        run_scenario(self._crash)

    async def _crash(self, rig: Rig) -> None:
        await rig.start(backends=4, gateways=2)
        for backend in rig.backends.values():
            backend.script = crash
        for number in range(4):
            path = '/pay/poison'
            await rig.call(path, f'p{number}', b'x', node=number % 2)
            await asyncio.sleep(0.3)
        self.assertEqual(2, len(rig.runs()))

    def test_new_vm_is_told_of_crashing_requests(self) -> None:
        """One that starts later refuses them as well."""
        run_scenario(self._crash_then_start)

    async def _crash_then_start(self, rig: Rig) -> None:
        await rig.start(backends=3)
        old = rig.nodes[0]
        for name in ('b0', 'b1'):
            old.link.quarantine.strike('0000beef', name, now_s())
        late = rig.add_gateway('vm1')
        held = late.forwarder.quarantine
        await rig.until(lambda: held.is_refused('0000beef', now_s()))


class TestSettings(testtools.TestCase):
    """Settings may change while the gateway runs."""

    def test_reload_keeps_serving(self) -> None:
        """New limits are taken over without a restart."""
        run_scenario(self._reload)

    async def _reload(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        node.reload(attrs.evolve(node.cfg, log_lines_per_s=7))
        self.assertEqual(7, node.log.lines_per_s)
        self.assertEqual(200, (await rig.call('/look/1')).status)
