"""Pages of the store that are malformed, and other bad records."""

import asyncio
import json
import zlib
from typing import Any
from unittest import mock

import testtools

from ...core.errors import WagtailforkError
from ...fleet import snapshots
from ...fleet.position import Position
from ...fleet.snapshots import pack, unpack
from ...http1.body import MIN_PIECE_BYTES, Body
from ..documents import decode_configuration
from ..store import Reply, StoreClient
from ..traffic import parse_summary

GOOD_ROW = {'key': 'a', 'value': 'eA==', 'offset': 1}
BAD_PAGES: tuple[Any, ...] = (
    [],
    None,
    {'items': []},
    {'items': [GOOD_ROW], 'end': None},
    {'items': [GOOD_ROW], 'end': float('inf')},
    {'items': [{'key': 'a'}], 'end': 3},
    {'items': [{'key': 'a', 'value': '***'}], 'end': 3},
    {'items': [{'key': 'a', 'value': 5}], 'end': 3},
    {'items': {'a': 1}, 'end': 3},
    {'items': [GOOD_ROW], 'end': 3, 'hasMore': True},
)
NESTED = b'[' * 100000 + b']' * 100000


def _list(raw: bytes) -> Any:
    async def respond(*_args: Any, **_options: Any) -> Reply:
        return Reply(200, raw, 1)

    client = StoreClient('127.0.0.1:1')
    with mock.patch.object(StoreClient, '_call', respond):
        return asyncio.run(client.list_newest('keyed.servers'))


class TestPages(testtools.TestCase):
    """A malformed page counts as a failed call, not as a crash."""

    def test_malformed_pages(self) -> None:
        """Each raises ``log_unavailable``; a page that repeats itself too."""
        for page in BAD_PAGES:
            raw = json.dumps(page).encode()
            exc = self.assertRaises(WagtailforkError, _list, raw)
            self.assertEqual('log_unavailable', exc.code.name)
        exc = self.assertRaises(WagtailforkError, _list, NESTED)
        self.assertEqual('log_unavailable', exc.code.name)

    def test_good_page(self) -> None:
        """A page is decoded to its records and the next offset."""
        listing = _list(json.dumps({'items': [GOOD_ROW], 'end': 3}).encode())
        self.assertEqual({'a': b'x'}, listing.records)
        self.assertEqual(Position(1, 3), listing.end)


class TestRecords(testtools.TestCase):
    """Records that other writers made unreadable."""

    def test_nested_summary(self) -> None:
        """A deeply nested traffic summary is passed over."""
        self.assertIsNone(parse_summary(zlib.compress(NESTED)))

    def test_numbers_that_are_none(self) -> None:
        """Infinity in a configuration is rejected with its code."""
        for text in ('Infinity', 'NaN', '1e999', '-Infinity'):
            raw = f'{{"version": {text}, "routes": {{}}, "services": {{}}}}'
            exc = self.assertRaises(
                WagtailforkError, decode_configuration, raw.encode()
            )
            self.assertEqual('record_malformed', exc.code.name)

    def test_packed_configuration_that_is_cut(self) -> None:
        """A configuration that is cut short or too large is rejected."""
        packed = pack(b'abc' * 1000)
        self.assertRaises(WagtailforkError, unpack, packed[:-8])
        self.assertRaises(WagtailforkError, unpack, b'junk')
        with mock.patch.object(snapshots, 'MAX_SNAPSHOT_BYTES', 2000):
            self.assertRaises(WagtailforkError, unpack, packed)
        self.assertEqual(b'abc' * 1000, unpack(packed))


class TestSmallPieces(testtools.TestCase):
    """A body that arrives byte by byte needs little memory."""

    def test_pieces_are_joined(self) -> None:
        """Pieces that no reader has are joined up to a size."""
        body = Body()
        for number in range(3 * MIN_PIECE_BYTES):
            body.feed(b'%d' % (number % 10))
        self.assertLessEqual(len(body._pieces), 3)
        self.assertEqual(3 * MIN_PIECE_BYTES, len(body.payload()))

    def test_a_reader_misses_nothing(self) -> None:
        """A piece that a reader has is not changed."""
        self.assertEqual(b'abc', asyncio.run(_read_while_fed()))


async def _read_while_fed() -> bytes:
    body = Body()
    found = b''
    body.feed(b'a')
    reader = body.read()
    found += await anext(reader)
    body.feed(b'b')
    body.feed(b'c')
    body.finish()
    return found + b''.join([piece async for piece in reader])
