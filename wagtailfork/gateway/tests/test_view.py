"""Expiry of removed entries, and the order of updates to a view."""

import json

import attrs
import cbor2
import testtools

from ...core.clock import now_s
from ...fleet.position import NO_POSITION, Edition, Position
from ...fleet.snapshots import Snapshot, parse_snapshot, render_snapshot
from ...platform.documents import decode_configuration, decode_server
from ...standin.documents import make_route
from ..view import REREGISTER_S, SETTLING_S, View
from .rig import make_config


def make_view() -> View:
    """Return an empty view that decodes the platform's formats."""
    return View(decode_configuration, decode_server)


def make_entry(**changes: object) -> bytes:
    """Return the entry of a backend server."""
    fields: dict[str, object] = {
        'service': 'stock',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'capacity': 4,
        'state': 'ready',
        'warmupLeftMs': 0,
        'seq': 1,
        'born': 1,
    }
    fields.update(changes)
    return json.dumps(fields).encode()


class TestExpiry(testtools.TestCase):
    """Entries removed during a store outage may be registered again."""

    def test_entry_removed_in_an_outage_is_kept(self) -> None:
        """The server is removed only if it does not register again."""
        view = make_view()
        view.replace_servers({'s': make_entry()}, Position(1, 1), 'test')
        view.start_recovery_window(1e9)
        view.apply_server('s', None, Position(1, 2), 'test')
        self.assertIn('s', view.servers)
        view.remove_expired(1e9 + REREGISTER_S)
        self.assertNotIn('s', view.servers)

    def test_entry_registered_again_stays(self) -> None:
        """A new registration cancels the expiry."""
        view = make_view()
        view.replace_servers({'s': make_entry()}, Position(1, 1), 'test')
        view.start_recovery_window(1e9)
        view.apply_server('s', None, Position(1, 2), 'test')
        view.apply_server('s', make_entry(), Position(1, 3), 'test')
        view.remove_expired(2e9)
        self.assertIn('s', view.servers)

    def test_entry_is_removed_at_once_without_outage(self) -> None:
        """Without an outage no entry is kept."""
        view = make_view()
        view.replace_servers({'s': make_entry()}, Position(1, 1), 'test')
        view.apply_server('s', None, Position(1, 2), 'test')
        self.assertEqual({}, view.servers)


class TestFirstConfiguration(testtools.TestCase):
    """Servers listed before it, of services that it does not name."""

    def test_held_server_of_unknown_service(self) -> None:
        """One that was unlisted meanwhile has no entry to set aside."""
        view = make_view()
        listed = {
            'held': make_entry(service='x'),
            'aside': make_entry(service='x'),
            'used': make_entry(),
        }
        view.replace_servers(listed, Position(1, 1), 'test')
        view.start_recovery_window(1e9)
        view.apply_server('held', None, Position(1, 2), 'test')
        view.offer_configuration(make_config(1), 1, 'test')
        self.assertEqual({'used'}, set(view.servers))
        self.assertEqual(1, view.version)


class TestDeltas(testtools.TestCase):
    """Changes of the configuration, for VMs that have an earlier one."""

    def test_older_build_gets_the_whole(self) -> None:
        """Guards against deltas for a VM that can't apply them."""
        view = self._reader(2)
        for known, deltas in ((1, False), (0, True)):
            snapshot = view.snapshot(
                Edition(known, 1), NO_POSITION, deltas=deltas
            )
            self.assertIs(None, snapshot.configuration_delta)
            self.assertTrue(snapshot.packed_configuration)

    def test_malformed_delta_costs_nothing_else(self) -> None:
        """Guards against a table that is lost with a delta."""
        source = self._reader(2)
        source.replace_servers({'s': make_entry()}, Position(1, 1), 'test')
        good = source.snapshot(Edition(1, 1), NO_POSITION, deltas=True)
        rendered = render_snapshot(good)
        number = cbor2.loads(rendered) | {'configuration_delta': 10**12}
        broken = [
            attrs.evolve(good, configuration_delta=b'x'),
            attrs.evolve(good, configuration_delta=b''),
            parse_snapshot(cbor2.dumps(number)),
        ]
        for snapshot in broken:
            view = self._reader(1)
            view.merge(snapshot, 'peer')
            self.assertEqual((1, {'s'}), (view.version, set(view.servers)))
            self.assertTrue(view.wants_whole)
            self._fetch(source, view)
            self.assertEqual(source.raw_configuration, view.raw_configuration)
            self.assertFalse(view.wants_whole)

    def test_delta_of_another_base(self) -> None:
        """Guards against VMs that ask for the same delta for ever."""
        source, view = make_view(), self._reader(1)
        # The store had two documents of one version.
        for version, routes in ((1, {'new': make_route()}), (2, {})):
            document = make_config(version, **routes)
            source.offer_configuration(document, 1, 'test')
        self._fetch(source, view)
        self.assertEqual((1, True), (view.version, view.wants_whole))
        self._fetch(source, view)
        self.assertEqual(source.raw_configuration, view.raw_configuration)

    def test_restored_store_keeps_its_document(self) -> None:
        """Guards against a whole configuration for a change of the era."""
        source, view = self._reader(1), self._reader(1)
        source.offer_configuration(make_config(1), 2, 'test')
        snapshot = self._fetch(source, view)
        self.assertEqual(b'', snapshot.packed_configuration)
        self.assertEqual(Edition(1, 2), view.edition)
        source.offer_configuration(make_config(2), 2, 'test')
        snapshot = self._fetch(source, view)
        self.assertEqual(b'', snapshot.packed_configuration)
        self.assertEqual(Edition(2, 2), view.edition)

    def test_snapshot_shows_no_keys(self) -> None:
        """Guards against keys of customers in the log."""
        shown = repr(
            Snapshot(packed_configuration=b'k', configuration_delta=b'k')
        )
        self.assertNotIn("b'k'", shown)

    def _reader(self, newest: int) -> View:
        """Return a view that has read all versions up to the newest."""
        view = make_view()
        for version in range(1, newest + 1):
            view.offer_configuration(make_config(version), 1, 'test')
        return view

    def _fetch(self, source: View, view: View) -> Snapshot:
        snapshot = source.snapshot(
            view.edition, view.position, deltas=not view.wants_whole
        )
        view.merge(parse_snapshot(render_snapshot(snapshot)), 'peer')
        return snapshot


class TestMoves(testtools.TestCase):
    """Entries that name another service or address than before."""

    def test_process_keeps_its_service(self) -> None:
        """Another service takes a newer process, another address does not."""
        view = make_view()
        document = json.loads(make_config(1))
        document['services']['orders'] = document['services']['stock']
        view.offer_configuration(json.dumps(document).encode(), 1, 'test')
        view.replace_servers({'s': make_entry()}, Position(1, 1), 'test')
        moved = make_entry(service='orders')
        view.apply_server('s', moved, Position(1, 2), 'test')
        self.assertEqual('stock', view.servers['s'].service)
        other_address = make_entry(address='10.0.0.2:80')
        view.apply_server('s', other_address, Position(1, 3), 'test')
        self.assertEqual('10.0.0.2:80', view.servers['s'].address)
        restarted = make_entry(service='orders', born=2)
        view.apply_server('s', restarted, Position(1, 4), 'test')
        self.assertEqual('orders', view.servers['s'].service)


class TestEras(testtools.TestCase):
    """Entries of a restored store against what is known of their servers."""

    def test_ready_entry_of_a_process_that_drained(self) -> None:
        """It is not used, also after the store has settled."""
        view = make_view()
        view.replace_servers({'s': make_entry(born=5)}, Position(1, 1), 't')
        draining = make_entry(born=5, seq=7, state='draining')
        view.apply_server('s', draining, Position(1, 2), 't')
        view.apply_server('s', None, Position(1, 3), 't')
        view.replace_servers({'s': make_entry(born=5)}, Position(2, 1), 't')
        view.remove_expired(now_s() + SETTLING_S)
        self.assertEqual({}, view.servers)
        view.apply_server('s', make_entry(born=6), Position(2, 2), 't')
        self.assertIn('s', view.servers)

    def test_entry_that_the_settled_store_still_lists(self) -> None:
        """The server was unlisted in the lost seconds, but it is running."""
        view = make_view()
        view.replace_servers({'s': make_entry(seq=4)}, Position(1, 1), 't')
        view.apply_server('s', None, Position(1, 2), 't')
        view.replace_servers({'s': make_entry(seq=4)}, Position(2, 1), 't')
        self.assertEqual({}, view.servers)
        view.remove_expired(now_s() + SETTLING_S)
        self.assertIn('s', view.servers)

    def test_departure_that_another_vm_knows(self) -> None:
        """A VM that was away through the drill learns it with the table."""
        told, away = make_view(), make_view()
        for view in (told, away):
            view.replace_servers({'s': make_entry(born=5)}, Position(1, 1), 't')
        draining = make_entry(born=5, seq=7, state='draining')
        told.apply_server('s', draining, Position(1, 2), 't')
        told.replace_servers({'s': make_entry(born=5)}, Position(2, 1), 't')
        snapshot = told.snapshot(away.edition, away.position)
        away.merge(parse_snapshot(render_snapshot(snapshot)), 'told')
        self.assertEqual(told.position, away.position)
        self.assertEqual(told.servers, away.servers)
        self.assertTrue(away.servers['s'].draining)

    def test_changes_of_another_era_are_not_applied(self) -> None:
        """A record after a restore needs the table of its era."""
        view = make_view()
        view.replace_servers({'s': make_entry()}, Position(1, 9), 't')
        view.apply_server('s', None, Position(2, 3), 't')
        view.replace_servers({}, Position(0, 99), 't')
        self.assertIn('s', view.servers)
        self.assertEqual(Position(1, 9), view.position)


class TestOrder(testtools.TestCase):
    """Versions and positions only increase."""

    def test_late_table_is_ignored(self) -> None:
        """A table of an older position changes nothing."""
        view = make_view()
        view.replace_servers({'s': make_entry()}, Position(1, 5), 'test')
        view.replace_servers({}, Position(1, 4), 'test')
        self.assertIn('s', view.servers)

    def test_older_version_is_ignored(self) -> None:
        """The version in force stays."""
        view = make_view()
        view.offer_configuration(make_config(4), 1, 'test')
        view.offer_configuration(make_config(3), 1, 'test')
        self.assertEqual(4, view.version)
