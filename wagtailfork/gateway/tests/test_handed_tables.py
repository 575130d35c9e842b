"""A table that is handed on says all that the store said up to its position."""

import itertools
import json
from typing import Any, ClassVar
from unittest import mock

import attrs
import testtools
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ...fleet.position import NO_POSITION, Edition, Position
from ...fleet.snapshots import parse_snapshot, render_snapshot
from ...platform.documents import decode_configuration, decode_server
from .. import departures, view
from ..view import REREGISTER_S, SETTLING_S, View
from .rig import CONFIG_TOPIC, SERVERS_TOPIC, Rig, make_config, run_scenario

SERVICES = ('stock', 'later', 'other')
NAMES = st.sampled_from(('s0', 's1', 's2'))
UNREADABLE = b'{"service": 5}'
VMS = st.integers(0, 2)
LIMITS = settings(
    max_examples=400,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


def configuration(version: int, *services: str) -> bytes:
    """Render a configuration that names these services."""
    document = json.loads(make_config(version))
    one = document['services']['stock']
    document['services'] = dict.fromkeys(('stock', *services), one)
    return json.dumps(document).encode()


def entry(service: str, born: int, seq: int = 1, state: str = 'ready') -> bytes:
    """Render the entry of a server."""
    fields = {
        'service': service,
        'address': f'10.0.0.1:{born}',
        'zone': 'a',
        'version': 'v1',
        'capacity': 4,
        'state': state,
        'warmupLeftMs': 0,
        'seq': seq,
        'born': born,
    }
    return json.dumps(fields).encode()


def new_view() -> View:
    """Return the view of a VM that starts."""
    return View(decode_configuration, decode_server)


def hand_on(sender: View, receiver: View, *, deltas: bool = False) -> None:
    """Let a VM fetch what another one has."""
    snapshot = sender.snapshot(
        receiver.edition,
        receiver.position,
        deltas=deltas and not receiver.wants_whole,
    )
    receiver.merge(parse_snapshot(render_snapshot(snapshot)), 'vm')


@attrs.define
class Log:
    """Hold the records of servers and the newest configuration."""

    era: int = 1
    records: list[tuple[str, bytes | None]] = attrs.field(factory=list)
    version: int = 1
    services: tuple[str, ...] = ()

    @property
    def end(self) -> Position:
        """Return the position of the next record."""
        return Position(self.era, len(self.records))

    def newest(self) -> dict[str, bytes]:
        """Return the newest record of each server."""
        found = dict(self.records)
        return {name: raw for name, raw in found.items() if raw is not None}

    def document(self) -> bytes:
        """Return the newest configuration."""
        return configuration(self.version, *self.services)

    def list_for(self, view: View) -> None:
        """Let a VM list the table."""
        view.offer_configuration(self.document(), self.era, 'store')
        view.replace_servers(self.newest(), self.end, 'store')

    def read_for(self, view: View) -> None:
        """Let a VM read on, or list the table."""
        start = view.position
        if start.era != self.era or start == NO_POSITION:
            self.list_for(view)
            return
        view.offer_configuration(self.document(), self.era, 'store')
        for offset, row in enumerate(self.records[start.offset :]):
            position = Position(self.era, start.offset + offset + 1)
            view.apply_server(*row, position, 'store')


class TableMachine(RuleBasedStateMachine):
    """Write entries and configurations; let VMs start, read and fetch."""

    clock_s: ClassVar[float] = 0  # read by the views under test

    def __init__(self) -> None:
        """Start three VMs without a server."""
        super().__init__()
        type(self).clock_s = 1000.0
        self.log = Log()
        self.written: dict[str, bytes | None] = {}
        self.born = 0
        self.documents = {b''}
        self.views = [new_view() for _ in range(3)]

    @rule(name=NAMES, service=st.sampled_from(SERVICES))
    def start_server(self, name: str, service: str) -> None:
        """Let a process register, in place of one that is there."""
        self.born += 1
        self._write(name, entry(service, self.born))

    @rule(name=NAMES)
    def write_unreadable(self, name: str) -> None:
        """Let another writer spoil an entry."""
        self._write(name, UNREADABLE)

    @rule(name=NAMES, service=st.sampled_from(SERVICES))
    def move_server(self, name: str, service: str) -> None:
        """Let an entry of the last process name another service."""
        self._write(name, entry(service, self.born, seq=2))

    @rule(name=NAMES)
    def leave(self, name: str) -> None:
        """Remove an entry."""
        self._write(name, None)

    @rule(services=st.sets(st.sampled_from(SERVICES[1:])))
    def configure(self, services: set[str]) -> None:
        """Name other services."""
        self.log.version += 1
        self.log.services = tuple(sorted(services))

    @rule(lost=st.integers(1, 4))
    def restore(self, lost: int) -> None:
        """Go back to an older copy; what it lacks is written again."""
        self.log.records = self.log.records[:-lost]
        self.log.era += 1
        for name, raw in self.written.items():
            if self.log.newest().get(name) != raw:
                self.log.records.append((name, raw))

    @rule(vm=VMS)
    def restart(self, vm: int) -> None:
        """Let a VM start anew."""
        self.views[vm] = new_view()

    @rule(vm=VMS)
    def read(self, vm: int) -> None:
        """Let a VM read on."""
        self.log.read_for(self.views[vm])

    @rule(vm=VMS)
    def list_anew(self, vm: int) -> None:
        """Let a VM list the table, as after a compaction."""
        self.log.list_for(self.views[vm])

    @rule(vm=VMS, sender=VMS, deltas=st.booleans())
    def fetch(self, vm: int, sender: int, *, deltas: bool) -> None:
        """Let a VM, maybe of an older build, fetch what another one has."""
        mine, theirs = self.views[vm], self.views[sender]
        if theirs.edition > mine.edition or theirs.position > mine.position:
            hand_on(theirs, mine, deltas=deltas)
            assert mine.edition >= theirs.edition
            assert not mine.wants_whole

    @rule(seconds=st.integers(1, 3))
    def advance(self, seconds: int) -> None:
        """Let time pass."""
        type(self).clock_s += seconds
        for one in self.views:
            one.remove_expired(self.clock_s)

    @invariant()
    def no_document_is_made_up(self) -> None:
        """Check that each VM has a document of the store."""
        self.documents.add(self.log.document())
        assert {one.raw_configuration for one in self.views} <= self.documents

    def teardown(self) -> None:
        """Let all settle; compare the VMs with the newest entries."""
        self.log.version += 1
        self.log.services = SERVICES[1:]
        self._spread()
        for one in self.views:
            self.log.read_for(one)
        for _ in range(2):
            self.advance(int(SETTLING_S + REREGISTER_S) + 1)
        wanted = {
            name: raw
            for name, raw in self.log.newest().items()
            if raw != UNREADABLE and b'"seq": 2' not in raw
        }
        for one in [*self.views, self._taken_over(self.views[0])]:
            found = {
                name: entry(server.service, server.started_ms)
                for name, server in one.servers.items()
                if name in wanted
            }
            assert found == wanted, (found, wanted)
            assert one.servers.keys() <= self.log.newest().keys()

    def _spread(self) -> None:
        """Let one VM read, and the others fetch the newest document."""
        self.log.read_for(self.views[0])
        for sender, receiver in itertools.pairwise(self.views):
            hand_on(sender, receiver, deltas=True)
            assert receiver.raw_configuration == self.log.document()
            assert receiver.edition == Edition(self.log.version, self.log.era)

    def _taken_over(self, sender: View) -> View:
        """Return the view of a VM that has only what another one gave it."""
        receiver = new_view()
        hand_on(sender, receiver)
        return receiver

    def _write(self, name: str, raw: bytes | None) -> None:
        self.written[name] = raw
        self.log.records.append((name, raw))


class TestHandedTables(testtools.TestCase):
    """VMs that take the table of another one miss nothing."""

    def test_any_history(self) -> None:
        """Servers were missing after restarts, listings and restores."""
        machine: Any = type('Machine', (TableMachine,), {'clock_s': 0})
        with (
            mock.patch.object(view, 'now_s', lambda: machine.clock_s),
            mock.patch.object(departures, 'now_s', lambda: machine.clock_s),
        ):
            run_state_machine_as_test(machine, settings=LIMITS)

    def test_service_named_after_a_restart(self) -> None:
        """Its servers were lost with the VMs that had read their entries."""
        first, second, third = new_view(), new_view(), new_view()
        log = Log(records=[('s0', entry('later', 1))])
        log.read_for(first)
        for sender, receiver in ((first, second), (second, third)):
            hand_on(sender, receiver)
        log.version = 2
        log.services = ('later',)
        for one in (first, second, third):
            log.read_for(one)
            self.assertEqual(['s0'], list(one.servers))

    def test_service_named_after_the_first_start(self) -> None:
        """Only VMs that read the store served it, without any restart."""
        run_scenario(self._name_service)

    async def _name_service(self, rig: Rig) -> None:
        await rig.start_store()
        rig.store.put(CONFIG_TOPIC, 'config', make_config(1))
        rig.store.put(SERVERS_TOPIC, 's0', entry('later', 1))
        await rig.add_backend('b0')
        for number in range(4):
            rig.add_gateway(f'vm{number}')
        await rig.until(lambda: all(node.is_ready() for node in rig.nodes))
        rig.store.put(CONFIG_TOPIC, 'config', configuration(2, 'later'))
        views = [node.view for node in rig.nodes]
        await rig.until(lambda: all(one.version == 2 for one in views))
        for one in views:
            self.assertEqual({'b0', 's0'}, set(one.servers))

    def test_service_taken_away_and_given_back(self) -> None:
        """A restart in between lost its servers."""
        first, second, third = new_view(), new_view(), new_view()
        log = Log(records=[('s0', entry('later', 1))], services=('later',))
        log.read_for(first)
        log.version = 2
        log.services = ()
        log.read_for(first)
        hand_on(first, second)
        hand_on(second, third)
        self.assertEqual([], list(third.servers))
        log.version = 3
        log.services = ('later',)
        log.read_for(third)
        self.assertEqual(['s0'], list(third.servers))

    def test_spoiled_entry(self) -> None:
        """The last good entry and the one that spoiled it are handed on."""
        first, second = new_view(), new_view()
        log = Log(records=[('s0', entry('stock', 1))])
        log.read_for(first)
        for raw in (UNREADABLE, entry('later', 1, seq=2)):
            log.records.append(('s0', raw))
            log.read_for(first)
            second = new_view()
            hand_on(first, second)
            self.assertEqual('stock', second.servers['s0'].service)
            self.assertEqual({'s0': raw}, second.set_aside)

    def test_entry_that_waits_for_a_held_server(self) -> None:
        """A process that was held no longer kept its successor out."""
        one = new_view()
        log = Log(records=[('s0', entry('stock', 1))], services=('later',))
        log.read_for(one)
        one.start_recovery_window(view.now_s())
        log.records += [('s0', None), ('s0', entry('later', 1, seq=2))]
        log.read_for(one)
        self.assertEqual('stock', one.servers['s0'].service)
        one.remove_expired(view.now_s() + REREGISTER_S)
        self.assertEqual('later', one.servers['s0'].service)
