"""Odd entries of the platform's VM list."""

from typing import Any

import testtools

from ...core.errors import WagtailforkError
from ..vm_list import parse_listing

GOOD = {
    'name': 'vm0',
    'role': 'entry',
    'state': 'live',
    'address': '10.0.0.1:80',
    'peer_address': '10.0.0.1:81',
}
ODD: tuple[Any, ...] = (
    5,
    None,
    [],
    {},
    {**GOOD, 'state': 'asleep'},
    {**GOOD, 'name': 5},
    {**GOOD, 'address': '10.0.0.1:99999'},
    {**GOOD, 'peer_address': 'nowhere:1'},
    {**GOOD, 'extra': 1},
)
NO_LISTS: tuple[Any, ...] = (None, [], {}, {'vms': {}})


class TestVmList(testtools.TestCase):
    """An odd entry costs only itself."""

    def test_odd_entries_are_left_out(self) -> None:
        """Guards against one entry for which the whole list was unreadable."""
        listing = parse_listing({'vms': [*ODD, GOOD, *ODD]})
        self.assertEqual(['vm0'], [one.name for one in listing.vms])

    def test_list_without_entries_is_an_error(self) -> None:
        """The last good list is kept."""
        for raw in NO_LISTS:
            self.assertRaises(WagtailforkError, parse_listing, raw)
