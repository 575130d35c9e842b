"""State machine of servers, a store that is restored, and the views of VMs."""

import json
from typing import Any, ClassVar

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...fleet.position import NO_POSITION, Position
from ...fleet.snapshots import parse_snapshot, render_snapshot
from ...platform.documents import decode_configuration, decode_server
from ..departures import KEPT_S
from ..view import REREGISTER_S, SETTLING_S, View
from .rig import make_config

NAMES = st.sampled_from(('s0', 's1'))
VMS = st.integers(0, 1)
MAX_ADVANCE_S = 3


@attrs.define
class Process:
    """Hold the state of one process of a server."""

    born: int
    state: str = 'ready'
    sequence: int = 1

    def entry(self) -> bytes:
        """Return the entry that the process writes."""
        fields = {
            'service': 'stock',
            'address': f'10.0.0.1:{self.born}',
            'zone': 'a',
            'version': 'v1',
            'capacity': 4,
            'state': self.state,
            'warmupLeftMs': 0,
            'seq': self.sequence,
            'born': self.born,
        }
        return json.dumps(fields).encode()


@attrs.define
class Store:
    """Hold the records of servers; each restore cuts the log short."""

    era: int = 1
    records: list[tuple[str, bytes | None]] = attrs.field(factory=list)
    version: int = 1

    @property
    def end(self) -> Position:
        """Return the position of the next record."""
        return Position(self.era, len(self.records))

    def newest(self) -> dict[str, bytes]:
        """Return the newest record of each server."""
        found: dict[str, bytes] = {}
        for name, raw in self.records:
            found.pop(name, None)
            if raw is not None:
                found[name] = raw
        return found


class RestoreMachine(RuleBasedStateMachine):
    """Change servers, restore the store, and let VMs read and gossip."""

    view_type: ClassVar[type[View]] = View
    clock_s: ClassVar[float] = 0  # read by the views under test

    def __init__(self) -> None:
        """Start without a server."""
        super().__init__()
        type(self).clock_s = 1000.0
        self.store = Store()
        self.processes: dict[str, Process] = {}
        self.unwritten: set[str] = set()
        self.born = 0
        self.version = 1
        self.views = [
            self.view_type(decode_configuration, decode_server)
            for _ in range(2)
        ]
        self.drained: list[dict[tuple[str, int], float]] = [{}, {}]
        self.versions = [0, 0]
        self.positions = [NO_POSITION] * 2

    @rule(name=NAMES)
    def start(self, name: str) -> None:
        """Start a process, in place of one that is there."""
        self.born += 1
        self.processes[name] = Process(self.born)
        self._write(name)

    @rule(name=NAMES)
    def drain(self, name: str) -> None:
        """Begin a planned shutdown."""
        process = self.processes.get(name)
        if process is not None:
            process.state = 'draining'
            self._write(name)

    @rule(name=NAMES)
    def leave(self, name: str) -> None:
        """End a process, which removes its entry."""
        if self.processes.pop(name, None) is not None:
            self._write(name)

    @rule(name=NAMES)
    def lapse(self, name: str) -> None:
        """Remove the entry of a running process; it writes it again later."""
        if name in self.processes:
            self.store.records.append((name, None))
            self.unwritten.add(name)

    @rule()
    def configure(self) -> None:
        """Change the configuration."""
        self.version += 2
        self.store.version = self.version

    @rule(lost=st.integers(1, 4))
    def restore(self, lost: int) -> None:
        """Go back to an older copy in a new era."""
        kept = max(0, len(self.store.records) - lost)
        self.unwritten |= {name for name, _ in self.store.records[kept:]}
        self.store.records = self.store.records[:kept]
        self.store.version = max(1, self.version - 2 * lost)
        self.store.era += 1

    @rule(name=NAMES)
    def write_again(self, name: str) -> None:
        """Write what the store has lost."""
        if name in self.unwritten:
            self._write(name)

    @rule(vm=VMS)
    def read(self, vm: int) -> None:
        """Let a VM read on, or list the table."""
        view = self.views[vm]
        start = view.position
        version = make_config(self.store.version)
        view.offer_configuration(version, self.store.era, 'store')
        if start.era != self.store.era or start == NO_POSITION:
            view.replace_servers(self.store.newest(), self.store.end, 'store')
            return
        unread = self.store.records[start.offset :]
        for offset, (name, raw) in enumerate(unread, start.offset + 1):
            position = Position(self.store.era, offset)
            view.apply_server(name, raw, position, 'store')

    @rule(vm=VMS, sender=VMS)
    def fetch(self, vm: int, sender: int) -> None:
        """Let a VM fetch what another one has."""
        mine, theirs = self.views[vm], self.views[sender]
        if theirs.edition > mine.edition or theirs.position > mine.position:
            snapshot = theirs.snapshot(mine.edition, mine.position)
            mine.merge(parse_snapshot(render_snapshot(snapshot)), 'vm')

    @rule(seconds=st.integers(1, MAX_ADVANCE_S))
    def advance(self, seconds: int) -> None:
        """Let time pass."""
        type(self).clock_s += seconds
        for view in self.views:
            view.remove_expired(self.clock_s)

    @invariant()
    def versions_and_positions_only_rise(self) -> None:
        """Check that no VM goes back."""
        for vm, view in enumerate(self.views):
            assert view.version >= self.versions[vm]
            assert view.position >= self.positions[vm]
            self.versions[vm] = view.version
            self.positions[vm] = view.position

    @invariant()
    def drained_processes_stay_out(self) -> None:
        """Check that no VM uses a process that it saw draining."""
        for vm, view in enumerate(self.views):
            known = self.drained[vm]
            for name, server in view.servers.items():
                process = (name, server.started_ms)
                if server.draining:
                    known[process] = self.clock_s
                elif process in known:
                    age_s = self.clock_s - known[process]
                    assert age_s > KEPT_S, f'{process} is in use again'

    def teardown(self) -> None:
        """Let all settle, and compare the views with the processes."""
        for name in sorted(self.unwritten):
            self._write(name)
        self.store.version = self.version
        for _ in range(2):
            for vm, _view in enumerate(self.views):
                self.read(vm)
            type(self).clock_s += SETTLING_S + REREGISTER_S
            for view in self.views:
                view.remove_expired(self.clock_s)
        wanted = {
            name: process.born
            for name, process in self.processes.items()
            if process.state == 'ready'
        }
        for view in self.views:
            assert _in_use(view) == wanted, (_in_use(view), wanted)
            assert view.version == self.version

    def _write(self, name: str) -> None:
        process = self.processes.get(name)
        self.unwritten.discard(name)
        if process is None:
            self.store.records.append((name, None))
            return
        process.sequence += 1
        self.store.records.append((name, process.entry()))


def _in_use(view: Any) -> dict[str, int]:
    return {
        name: server.started_ms
        for name, server in view.servers.items()
        if not server.draining
    }
