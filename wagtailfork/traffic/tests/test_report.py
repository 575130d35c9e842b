"""Test sums over the summaries of several VMs."""

import testtools

from ...core.structure import render_plain
from ..ledger import TrafficKey, TrafficRow, TrafficSummary
from ..report import TimeRange, sum_rows

KEY = TrafficKey(
    customer='kiosk',
    service='stockd',
    backend='b0',
    failure_domain='a',
    result='ran',
)


def make_summary(vm: str, requests: int, to_ms: int = 5) -> object:
    """Return a summary as plain values."""
    return render_plain(
        TrafficSummary(
            vm=vm,
            incarnation='1796386631490',
            sequence=1,
            from_ms=0,
            to_ms=to_ms,
            rows=[TrafficRow(key=KEY, requests=requests)],
        )
    )


class TestSums(testtools.TestCase):
    """Each summary counts once and every VM's summaries count."""

    def test_vms_that_started_in_one_millisecond(self) -> None:
        """Summaries of VMs that share an incarnation are not duplicates.

        Regression: two VMs that started in one millisecond got the same
        incarnation. In one of eight runs half of the sums were missing from
        the report.
        """
        records = [make_summary('vm0', 3), make_summary('vm1', 4)]
        sums = sum_rows(records, TimeRange(from_ms=0, to_ms=9))
        self.assertEqual(7, sums[KEY].requests)

    def test_later_copy_of_a_summary_counts(self) -> None:
        """The copy with the later end counts, in either order."""
        records = [make_summary('vm0', 3, 5), make_summary('vm0', 2, 4)]
        for ordered in (records, list(reversed(records))):
            sums = sum_rows(ordered, TimeRange(from_ms=0, to_ms=9))
            self.assertEqual(3, sums[KEY].requests)
