"""Logging: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

from logfmter import Logfmter


def configure_logs(level: str, *, to_stdout: bool = False) -> None:
    """Send every log event to one stream as one logfmt line."""
    stream = sys.stdout if to_stdout else sys.stderr
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        Logfmter(
            keys=['at', 'level', 'logger'],
            mapping={'at': 'asctime', 'level': 'levelname', 'logger': 'name'},
        ),
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    # The server reports each connection that an application drops on purpose.
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
    for noisy in ('transitions', 'websockets', 'uvicorn', 'asyncio'):
        logging.getLogger(noisy).setLevel(logging.WARNING)


def log_event(logger: logging.Logger, event: str, **pairs: Any) -> None:
    """Log one event at INFO with its pairs."""
    if logger.isEnabledFor(logging.INFO):
        logger.info({'event': event, **pairs})


def log_fault(logger: logging.Logger, event: str, **pairs: Any) -> None:
    """Log one fault at WARNING with its pairs."""
    logger.warning({'event': event, **pairs})
