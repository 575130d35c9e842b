"""Order of evacuation records, listings and what other VMs know."""

import attrs
import testtools

from ...core.clock import now_s
from ...core.event_log import EventLog
from ...fleet.member import Member, short_row
from ...fleet.members import Membership
from ...fleet.messages import Heartbeat, decode, encode
from ...fleet.position import START, Position
from ...fleet.snapshots import parse_snapshot, render_snapshot
from ...platform.evacuations import apply_evacuations, list_evacuated
from ...platform.store import KeyedRecord
from ...routing.routes import ServiceRule
from ..backend_registry import BackendRegistry, Topology
from ..model import BackendServer
from ..snapshot_fetcher import SnapshotFetcher
from ..view import SETTLING_S, View
from ..warm_up_recorder import WarmUpRecorder
from .test_view import make_view

NONE: frozenset[str] = frozenset()
ZONE = frozenset('a')
LISTED = Position(1, 5)


def make_reader(*domains: str, end: Position = LISTED) -> View:
    """Return a view that has read a listing."""
    view = make_view()
    view.evacuations.apply_listing(domains, end, 't')
    return view


def record(
    view: View, domain: str, position: Position, *, evacuated: bool = True
) -> frozenset[str]:
    """Apply a record; return the evacuated domains."""
    view.evacuations.apply_record(domain, position, 't', evacuated=evacuated)
    return view.evacuations.domains


def tell(source: View, view: View) -> frozenset[str]:
    """Send a snapshot to another VM; return its evacuated domains."""
    snapshot = source.snapshot(view.edition, view.position)
    view.merge(parse_snapshot(render_snapshot(snapshot)), 'peer')
    return view.evacuations.domains


def make_member(**changes: object) -> Member:
    """Return the row of a VM."""
    member = Member(
        address='10.0.0.1:1',
        caller_address='10.0.0.1:2',
        failure_domain='a',
        region='r',
        incarnation=1,
    )
    return attrs.evolve(member, **changes)  # type: ignore[arg-type]


class TestOrder(testtools.TestCase):
    """Older knowledge never overrides newer knowledge."""

    def test_late_records_and_listings(self) -> None:
        """A late listing or record does not end or restart an evacuation."""
        view = make_reader()
        self.assertEqual(ZONE, record(view, 'a', Position(1, 8)))
        view.evacuations.apply_listing([], Position(1, 7), 't')
        record(view, 'a', Position(1, 7), evacuated=False)
        self.assertEqual(ZONE, view.evacuations.domains)
        ended = record(view, 'a', Position(1, 9), evacuated=False)
        self.assertEqual(NONE, ended)
        self.assertEqual(NONE, record(view, 'a', Position(1, 8)))

    def test_listing_after_a_compaction(self) -> None:
        """The record that ended it may be gone with the compaction."""
        view = make_reader('a', 'b')
        view.evacuations.apply_listing('b', Position(1, 30), 't')
        self.assertEqual(frozenset('b'), view.evacuations.domains)

    def test_peer_that_was_suspended(self) -> None:
        """Its old evacuation neither returns nor stays with it."""
        old = make_reader('a')
        view = make_reader('a')
        record(view, 'a', Position(1, 9), evacuated=False)
        self.assertEqual(NONE, tell(old, view))
        self.assertEqual(NONE, tell(view, old))

    def test_peers_that_never_saw_it(self) -> None:
        """They correct the only VM that was not replaced since its end."""
        late = make_reader('a')
        reader = make_reader(end=Position(1, 20))
        other = make_view()
        self.assertEqual(ZONE, tell(late, other))
        heard = make_member(evacuations=late.evacuations.position)
        me = make_member(address='10.0.0.2:1')
        # It would ask a VM of its own domain at once.
        SnapshotFetcher(Membership(me), reader).fetch_if_newer(heard)
        self.assertEqual(NONE, tell(reader, other))
        self.assertEqual(NONE, tell(reader, late))

    def test_new_vm_learns_it_from_a_peer(self) -> None:
        """A VM that starts while the store is away sends nothing there."""
        self.assertEqual(ZONE, tell(make_reader('a'), make_view()))


class TestRestoredStore(testtools.TestCase):
    """An evacuation that the copy lacks is kept while it settles."""

    def test_kept_and_written_again(self) -> None:
        """Written again in time, it never ends."""
        view = make_reader('a')
        view.evacuations.apply_listing([], Position(2, 3), 't')
        self.assertEqual(ZONE, view.evacuations.domains)
        record(view, 'a', Position(2, 4))
        view.remove_expired(now_s() + SETTLING_S)
        self.assertEqual(ZONE, view.evacuations.domains)

    def test_kept_and_ended(self) -> None:
        """It ends after the settling time, or by a record of the new era."""
        for early in (True, False):
            view = make_reader('a')
            view.evacuations.apply_listing([], Position(2, 3), 't')
            started = make_view()
            self.assertEqual(ZONE, tell(view, started))
            if early:
                record(view, 'a', Position(2, 4), evacuated=False)
                tell(view, started)
            for one in (view, started):
                one.remove_expired(now_s() + SETTLING_S)
                self.assertEqual(NONE, one.evacuations.domains)

    def test_peer_that_knows_less_ends_nothing(self) -> None:
        """A VM that started after the restore lacks what others hold."""
        view, peer = make_reader('a'), make_reader('a')
        for one in (view, peer):
            one.evacuations.apply_listing([], Position(2, 3), 't')
        record(view, 'a', Position(2, 4), evacuated=False)
        self.assertEqual(ZONE, tell(view, peer))
        peer.remove_expired(now_s() + SETTLING_S)
        self.assertEqual(NONE, peer.evacuations.domains)

    def test_listing_of_an_earlier_era(self) -> None:
        """A VM that reads an old copy of the store takes nothing back."""
        view = make_reader('a', end=Position(2, 3))
        view.evacuations.apply_listing([], Position(1, 90), 't')
        self.assertEqual(ZONE, view.evacuations.domains)


class TestMessages(testtools.TestCase):
    """Rows carry the position only if there was an evacuation."""

    def test_rows_keep_their_bytes(self) -> None:
        """Deployments without evacuations send the rows that they sent."""
        view = make_reader()
        self.assertEqual(START, view.evacuations.position)
        self.assertNotIn(
            b'evacuations', render_snapshot(view.snapshot(view.edition, START))
        )
        plain = make_member()
        far = make_member(evacuations=Position(1, 9))
        for row in (plain, far, short_row(plain), short_row(far)):
            heartbeat = Heartbeat([row])
            self.assertEqual(heartbeat, decode(encode(heartbeat)))
        added = len(encode(Heartbeat([far]))) - len(encode(Heartbeat([plain])))
        self.assertEqual(2, added)

    def test_malformed_parts_change_nothing_else(self) -> None:
        """A snapshot with an unreadable set still brings the rest."""
        view = make_reader('a')
        raw = render_snapshot(view.snapshot(view.edition, START))
        broken = raw.replace(b'kevacuations\x84\x01', b'kevacuations\x84\x21')
        self.assertNotEqual(raw, broken)
        self.assertIs(None, parse_snapshot(broken).evacuations)


class TestRecords(testtools.TestCase):
    """Records of the operators' topic."""

    def test_only_readable_names_count(self) -> None:
        """Other records of the topic and names that are none change nothing."""
        keys = ('config', 'evacuate/', 'evacuate/\n', f'evacuate/{"x" * 129}')
        view = make_reader()
        records = [KeyedRecord(key, b'1', 9) for key in (*keys, 'evacuate/a')]
        apply_evacuations(view.evacuations, records, 1, 't')
        self.assertEqual(ZONE, view.evacuations.domains)
        self.assertEqual([], list_evacuated(dict.fromkeys(keys, b'1')))


class TestServers(testtools.TestCase):
    """Servers follow the state of their domain."""

    def test_servers_that_register_later(self) -> None:
        """A server that starts in an evacuated domain is barred, then cold."""
        topology = Topology(
            failure_domain='b', regions={}, near_price=0, far_price=0
        )

        async def skip(_candidate: object) -> bool:
            return False

        rule = ServiceRule(name='stock', warm_up_s=9, warm_up_per_s=3)
        warm_ups = WarmUpRecorder(
            EventLog(lines_per_s=10), lambda _service: rule, print
        )
        registry = BackendRegistry(topology, print, skip, warm_ups)
        registry.evacuate(frozenset(('a', 'unknown')))
        server = BackendServer(
            name='s',
            started_ms=1,
            service='stock',
            address='10.0.0.1:1',
            failure_domain='a',
            slots=4,
        )
        registry.update({'s': server})
        candidate = registry.candidate('s')
        assert candidate is not None
        self.assertTrue(candidate.evacuated)
        registry.evacuate(frozenset(('unknown',)))
        self.assertFalse(candidate.evacuated)
        self.assertGreater(candidate.warm_at_s, now_s() + 8)
