"""Parts of tables that are handed over more than once."""

import testtools

from ...core.errors import WagtailforkError
from ...peers.messages import HandOver
from ..handover import (
    CLAIMS_PER_MESSAGE,
    IncomingTables,
    RangeRecord,
    make_handover_messages,
)
from ..table import Claim, ClaimState, ClaimTable

MEMBER = 'm1'
RANGE_ID = 'm0-1'
KEYS = 2 * CLAIMS_PER_MESSAGE + 1


def make_parts() -> list[HandOver]:
    """Return the three messages of one handover."""
    table = ClaimTable()
    for number in range(KEYS):
        table.insert(0, f'k{number}', Claim('d', '', ClaimState.claimed))
    record = RangeRecord(table, 0, 0)
    return list(make_handover_messages(MEMBER, RANGE_ID, record, 0))


class TestRepeatedHandover(testtools.TestCase):
    """A table is complete only with all parts of one handover."""

    def test_late_part_of_an_earlier_handover(self) -> None:
        """The last part alone passed for the whole table."""
        first, second, last = make_parts()
        tables = IncomingTables(MEMBER)
        for part in (first, second, first, second, last):
            tables.receive(part)
        self._expect_refused(tables, last)
        self._expect_complete(tables)

    def test_part_without_its_start(self) -> None:
        """It is refused, so the handover fails and is repeated."""
        first, second, last = make_parts()
        tables = IncomingTables(MEMBER)
        tables.receive(first)
        tables.receive(last)  # of an earlier handover
        self._expect_refused(tables, second)
        for part in (first, second, last):
            tables.receive(part)
        self._expect_complete(tables)

    def _expect_refused(self, tables: IncomingTables, part: HandOver) -> None:
        try:
            tables.receive(part)
        except WagtailforkError as exc:
            self.assertEqual('range_unreachable', exc.code.name)
        else:
            self.fail('the part was accepted')

    def _expect_complete(self, tables: IncomingTables) -> None:
        record = tables.find_complete(RANGE_ID)
        assert record is not None  # noqa: S101
        self.assertEqual(KEYS, len(record.table))
