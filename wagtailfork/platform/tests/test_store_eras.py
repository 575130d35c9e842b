"""Responses of a store that names eras."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import testtools
from starlette.requests import Request
from starlette.responses import Response

from ...core.errors import WagtailforkError
from ...core.server import HttpServer, bind
from ...fleet.position import Position
from ...gateway.tests.rig import free_address
from ...standin.keyed_store import KeyedStoreStandin
from ..store import PositionLost, StoreClient

TOPIC = 'keyed.servers'
TWO_PAGES = 60  # keys


class RestoredStandin(KeyedStoreStandin):
    """Go back to a copy after each page of a listing."""

    async def _newest(self, req: Request) -> Response:
        response = await super()._newest(req)
        self.restore(self.copy_topics())
        return response


class TestEras(testtools.TestCase):
    """Records are used in the era of their position only."""

    def test_answer_of_an_earlier_era(self) -> None:
        """It counts as a failed call."""
        self._run(KeyedStoreStandin(era=5), self._go_back)

    async def _go_back(
        self, store: KeyedStoreStandin, client: StoreClient
    ) -> None:
        await client.list_newest(TOPIC)
        store.era = 4
        await self._expect_unavailable(client)
        store.era = 5
        await client.list_newest(TOPIC)

    def test_listing_across_a_restore(self) -> None:
        """Pages of two eras make no listing."""
        self._run(RestoredStandin(), self._list_across)

    async def _list_across(
        self, store: KeyedStoreStandin, client: StoreClient
    ) -> None:
        for number in range(TWO_PAGES):
            store.put(TOPIC, f's{number}', b'{}')
        await self._expect_unavailable(client)

    def test_offset_that_exists_in_another_era(self) -> None:
        """Its record is not returned."""
        self._run(KeyedStoreStandin(), self._read_on)

    async def _read_on(
        self, store: KeyedStoreStandin, client: StoreClient
    ) -> None:
        for _ in range(3):
            store.put(TOPIC, 's', b'{}')
        listing = await client.list_newest(TOPIC)
        self.assertEqual(Position(1, 3), listing.end)
        store.restore(store.copy_topics())
        store.put(TOPIC, 't', b'{}')
        try:
            await client.read_keyed(TOPIC, listing.end, 0)
        except PositionLost as exc:
            self.assertIn('era 2', str(exc))
        else:
            self.fail('a record of another era was returned')
        records, end = await client.read_keyed(TOPIC, Position(2, 3), 0)
        self.assertEqual(['t'], [one.key for one in records])
        self.assertEqual(Position(2, 4), end)

    def test_unreadable_era_is_ignored(self) -> None:
        """The answer belongs to the era that was heard before."""
        self._run(KeyedStoreStandin(era=3), self._garble)

    async def _garble(
        self, store: KeyedStoreStandin, client: StoreClient
    ) -> None:
        await client.list_newest(TOPIC)
        garbled: Any = store
        for era in ('x', '-1', '', '1e3', '9' * 5000):
            garbled.era = era
            listing = await client.list_newest(TOPIC)
            self.assertEqual(3, listing.end.era)

    async def _expect_unavailable(self, client: StoreClient) -> None:
        try:
            await client.list_newest(TOPIC)
        except WagtailforkError as exc:
            self.assertEqual('log_unavailable', exc.code.name)
        else:
            self.fail('the listing was accepted')

    def _run(
        self,
        store: KeyedStoreStandin,
        scenario: Callable[[KeyedStoreStandin, StoreClient], Awaitable[None]],
    ) -> None:
        async def run_with_server() -> None:
            address = free_address()
            server = HttpServer(store.app(), bind(address))
            running = asyncio.create_task(server.run())
            try:
                await scenario(store, StoreClient(address))
            finally:
                running.cancel()
                await asyncio.gather(running, return_exceptions=True)

        asyncio.run(run_with_server())
