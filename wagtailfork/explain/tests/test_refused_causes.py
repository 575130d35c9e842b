"""Test what is told of requests that were refused."""

import testtools

from ..explanation import explain_request
from ..lines import LogLine, parse_line

# One caller's payment is refused while another's with its id runs.
SHARED_ID = (
    'at=1.00 vm=a event=admitted id=r1 route=pay objective_ms=250.0',
    'at=1.01 vm=a event=sent id=r1 server=b0 attempt=1 port=4001 nth=2',
    'at=1.02 vm=a event=admitted id=r1 route=pay objective_ms=250.0',
    'at=1.03 vm=a event=sent id=r1 server=b0 attempt=1 port=4002 nth=1',
    'at=1.04 vm=a event=answered id=r1 server=b0 status=200 ms=20.0 sends=1',
    'at=1.05 vm=a event=server_refused id=r1 server=b0 status=503 statement=1'
    ' named=r1 port=4001 nth=2 attempt=1',
    'at=1.06 vm=a event=refused id=r1 why=shed refused_by=b0',
)
# Reasons that the last send may give beside those of a queue.
SEND_REASONS = ('other_server', 'connect_failed')


def read_lines(texts: tuple[str, ...]) -> list[LogLine]:
    """Return the lines, each of which can be read."""
    found = []
    for text in texts:
        line = parse_line(text)
        assert line is not None  # noqa: S101
        found.append(line)
    return found


class TestRefusedCauses(testtools.TestCase):
    """The causes tell whether a request ran, and who refused it."""

    def test_both_endings_of_a_shared_id(self) -> None:
        """A request that ran was hidden by another's refusal."""
        causes = explain_request(read_lines(SHARED_ID), 'r1').causes
        self.assertIn('refused', ' '.join(causes))
        self.assertIn('answered with 200', ' '.join(causes))

    def test_reasons_of_sends_are_described(self) -> None:
        """The name of a reason is no cause."""
        for reason in SEND_REASONS:
            with self.subTest(reason):
                text = f'at=1.0 vm=a event=refused id=r1 why={reason}'
                causes = explain_request(read_lines((text,)), 'r1').causes
                self.assertNotIn(reason, causes[0])
