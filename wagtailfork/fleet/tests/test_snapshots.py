"""Malformed rows in snapshots of other VMs."""

import cbor2
import testtools

from ..position import Position
from ..snapshots import Change, Departure, parse_snapshot

HUGE = 10**40
PARTS = {
    'configuration': b'',
    'configuration_era': 1,
    'era': 1,
    'offset': 7,
    'servers': {'a': b'x', 'b': 10**12, 5: b'x', 'c': 'x', 'd': None},
    'changes': [['a', b'y', 7], ['b', 8, 7], ['c', b'y', HUGE], 5, ['d']],
    'departures': [['a', 5, 6, True], ['b', HUGE, 1, True], ['c'], None],
}


class TestRows(testtools.TestCase):
    """A malformed row costs only itself."""

    def test_good_rows_are_kept(self) -> None:
        """A number where the content belongs reserved that many bytes."""
        snapshot = parse_snapshot(cbor2.dumps(PARTS))
        self.assertEqual({'a': b'x'}, snapshot.servers)
        self.assertEqual((Change('a', b'y', Position(1, 7)),), snapshot.changes)
        departure = Departure('a', 5, 6, draining=True)
        self.assertEqual((departure,), snapshot.departures)
