"""Expiry of removed entries, and the order of updates to a view."""

import json

import testtools

from ...platform.documents import decode_configuration, decode_server
from ..view import REREGISTER_S, View
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
        'capacity': 4,
        'state': 'ready',
        'warmupLeftMs': 0,
    }
    fields.update(changes)
    return json.dumps(fields).encode()


class TestExpiry(testtools.TestCase):
    """Entries removed during a store outage may be registered again."""

    def test_entry_removed_in_an_outage_is_kept(self) -> None:
        """The server is removed only if it does not register again."""
        view = make_view()
        view.apply_server('s', make_entry(), 1, 'test')
        view.start_recovery_window(1e9)
        view.apply_server('s', None, 2, 'test')
        self.assertIn('s', view.servers)
        view.remove_expired(1e9 + REREGISTER_S)
        self.assertNotIn('s', view.servers)

    def test_entry_registered_again_stays(self) -> None:
        """A new registration cancels the expiry."""
        view = make_view()
        view.apply_server('s', make_entry(), 1, 'test')
        view.start_recovery_window(1e9)
        view.apply_server('s', None, 2, 'test')
        view.apply_server('s', make_entry(), 3, 'test')
        view.remove_expired(2e9)
        self.assertIn('s', view.servers)

    def test_entry_is_removed_at_once_without_outage(self) -> None:
        """Without an outage no entry is kept."""
        view = make_view()
        view.apply_server('s', make_entry(), 1, 'test')
        view.apply_server('s', None, 2, 'test')
        self.assertEqual({}, view.servers)


class TestOrder(testtools.TestCase):
    """Versions and positions only increase."""

    def test_late_table_is_ignored(self) -> None:
        """A table of an older position changes nothing."""
        view = make_view()
        view.replace_servers({'s': make_entry()}, 5, 'test')
        view.replace_servers({}, 4, 'test')
        self.assertIn('s', view.servers)

    def test_older_version_is_ignored(self) -> None:
        """The version in force stays."""
        view = make_view()
        view.offer_configuration(make_config(4), 'test')
        view.offer_configuration(make_config(3), 'test')
        self.assertEqual(4, view.version)
