"""Appends of traffic sums around a restore of the store."""

import asyncio
from typing import Any

import attrs
import testtools

from ...core.clock import now_s
from ..retained_appends import MAX_RETAINED, RETAINED_S, RetainedAppends


@attrs.define(eq=False)
class FakeStore:
    """Hold appended records, and restore a copy during an append."""

    era: int = 1
    records: list[Any] = attrs.field(factory=list)
    restores_during: Any = None

    async def append(self, record: Any) -> None:
        """Append one record."""
        self.records.append(record)
        if record == self.restores_during:
            self.restores_during = None
            self.records.pop()
            self.era += 1


class TestRetainedAppends(testtools.TestCase):
    """What a restore may have undone is appended again, once."""

    def test_restore_during_an_append(self) -> None:
        """Guards against the era after the append taken for that of it."""
        store = FakeStore(restores_during='b')
        appends = _make_appends(store)
        asyncio.run(_append_all(appends, 'ab'))
        asyncio.run(appends.append_lost(now_s()))
        asyncio.run(appends.append_lost(now_s()))
        self.assertEqual(['a', 'a', 'b'], store.records)

    def test_old_appends_are_let_go(self) -> None:
        """Neither old ones nor more than a bound are appended again."""
        store = FakeStore()
        appends = _make_appends(store)
        asyncio.run(_append_all(appends, 'x' * (MAX_RETAINED + 5)))
        store.era += 1
        store.records.clear()
        asyncio.run(appends.append_lost(now_s()))
        self.assertEqual(MAX_RETAINED, len(store.records))
        store.era += 1
        asyncio.run(appends.append_lost(now_s() + 2 * RETAINED_S))
        self.assertEqual(MAX_RETAINED, len(store.records))


def _make_appends(store: FakeStore) -> RetainedAppends:
    return RetainedAppends(append_once=store.append, era=lambda: store.era)


async def _append_all(appends: RetainedAppends, records: str) -> None:
    for record in records:
        await appends.append(record)
