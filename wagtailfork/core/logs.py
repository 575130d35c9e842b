"""Logging of events, each as one line of key=value pairs."""

import logging
import sys
from typing import Any

from logfmter import Logfmter

from .event_log import EventLog


def configure_logs(level: str) -> None:
    """Write every log event to standard error as one logfmt line."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        Logfmter(
            keys=['at', 'level', 'logger'],
            mapping={'at': 'asctime', 'level': 'levelname', 'logger': 'name'},
        ),
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    # Uvicorn logs an error for each connection that the application aborts.
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
    for name in ('transitions', 'websockets', 'uvicorn', 'asyncio'):
        logging.getLogger(name).setLevel(logging.WARNING)


class EventLogHandler(logging.Handler):
    """Write log records of all modules to a rate-limited event log."""

    def __init__(self, log: EventLog) -> None:
        """Store the event log to write to."""
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record as one line."""
        pairs = {'event': 'message', 'text': record.getMessage()}
        if isinstance(record.msg, dict):
            pairs = dict(record.msg)
        if record.exc_info and record.exc_info[1] is not None:
            pairs['error'] = repr(record.exc_info[1])
        event = str(pairs.pop('event'))
        self._log.emit(event, important=True, level=record.levelname, **pairs)


def attach_log(log: EventLog) -> None:
    """Write every log event to a rate-limited event log only."""
    logging.getLogger().handlers = [EventLogHandler(log)]


def log_event(logger: logging.Logger, event: str, **pairs: Any) -> None:
    """Log one event at INFO level with its key=value pairs."""
    if logger.isEnabledFor(logging.INFO):
        logger.info({'event': event, **pairs})


def log_warning(logger: logging.Logger, event: str, **pairs: Any) -> None:
    """Log one event at WARNING level with its key=value pairs."""
    logger.warning({'event': event, **pairs})
