"""What a view does with entries that lapse and tables that come late."""

import json

import testtools

from ...platform.documents import decode_configuration, decode_server
from ..view import REREGISTER_S, View
from .rig import make_config


def make_view() -> View:
    """Give an empty view with the platform's formats."""
    return View(decode_configuration, decode_server)


def make_entry(**changes: object) -> bytes:
    """Give the entry of a backend server."""
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


class TestLapses(testtools.TestCase):
    """Entries that lapse while the store is away may come back."""

    def test_entry_that_lapsed_in_an_outage_is_held(self) -> None:
        """It is dropped only if it does not come back."""
        view = make_view()
        view.apply_server('s', make_entry(), 1, 'test')
        view.note_trouble(1e9)
        view.apply_server('s', None, 2, 'test')
        self.assertIn('s', view.servers)
        view.drop_lapsed(1e9 + REREGISTER_S)
        self.assertNotIn('s', view.servers)

    def test_entry_that_comes_back_stays(self) -> None:
        """Its return ends the wait."""
        view = make_view()
        view.apply_server('s', make_entry(), 1, 'test')
        view.note_trouble(1e9)
        view.apply_server('s', None, 2, 'test')
        view.apply_server('s', make_entry(), 3, 'test')
        view.drop_lapsed(2e9)
        self.assertIn('s', view.servers)

    def test_entry_goes_at_once_in_calm(self) -> None:
        """Without an outage nothing is held."""
        view = make_view()
        view.apply_server('s', make_entry(), 1, 'test')
        view.apply_server('s', None, 2, 'test')
        self.assertEqual({}, view.servers)


class TestOrder(testtools.TestCase):
    """Versions and positions only rise."""

    def test_late_table_is_left_alone(self) -> None:
        """An older position changes nothing."""
        view = make_view()
        view.replace_servers({'s': make_entry()}, 5, 'test')
        view.replace_servers({}, 4, 'test')
        self.assertIn('s', view.servers)

    def test_older_version_is_left_alone(self) -> None:
        """The version in force stays."""
        view = make_view()
        view.offer_configuration(make_config(4), 'test')
        view.offer_configuration(make_config(3), 'test')
        self.assertEqual(4, view.version)
