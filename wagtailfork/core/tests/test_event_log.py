"""Check that the event log is limited in rate and never blocks."""

import logging
import os

import testtools

from ..event_log import EventLog
from ..logs import EventLogHandler

LINES = 5000


class EventLogTest(testtools.TestCase):
    """Check which lines are written and which are dropped and counted."""

    def setUp(self) -> None:
        """Open a pipe that is not read yet."""
        super().setUp()
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.reader = reader
        self.writer = writer

    def test_lines_over_the_rate_are_counted(self) -> None:
        """Write at most a second's lines of a burst and count the rest."""
        log = EventLog(lines_per_s=100, fd=self.writer, vm='vm1')
        for number in range(LINES):
            log.emit('answered', id=f'r{number}')
        log.flush()
        text = self._read()
        written = text.count('event=answered')
        self.assertLess(written, 2 * 100)
        self.assertIn(f'event=lines_left_out count={LINES - written}', text)
        self.assertTrue(text.startswith('at='))
        self.assertIn(' vm=vm1 ', text)

    def test_important_events_exceed_the_rate(self) -> None:
        """Write important events when other lines exceed the rate."""
        log = EventLog(lines_per_s=100, fd=self.writer)
        for _ in range(LINES):
            log.emit('answered')
        for _ in range(10):
            log.emit('refused', important=True)
        log.flush()
        self.assertEqual(10, self._read().count('event=refused'))

    def test_stalled_reader_does_not_block(self) -> None:
        """Buffer a limited amount, then drop lines without blocking."""
        log = EventLog(lines_per_s=1e9, fd=self.writer)
        for _ in range(50):
            for _ in range(LINES // 10):
                log.emit('answered', text='x' * 100)
            log.flush()
        self.assertGreater(log.dropped_lines, 0)
        text = ''
        while chunk := self._read():
            text += chunk
            log.flush()
        self.assertIn('event=lines_left_out', text)

    def test_logging_records_are_written(self) -> None:
        """Write records of Python's logging through the event log."""
        log = EventLog(lines_per_s=1e9, fd=self.writer, vm='vm1')
        handler = EventLogHandler(log)
        record = logging.makeLogRecord(
            {
                'msg': {'event': 'store_lost', 'topic': 'a b'},
                'levelno': logging.WARNING,
                'levelname': 'WARNING',
            }
        )
        handler.handle(record)
        handler.handle(logging.makeLogRecord({'msg': 'plain words'}))
        log.flush()
        text = self._read()
        self.assertIn('event=store_lost level=WARNING topic="a b"', text)
        self.assertIn('event=message', text)
        self.assertIn('text="plain words"', text)

    def _read(self) -> str:
        try:
            return os.read(self.reader, 1 << 22).decode()
        except BlockingIOError:
            return ''
