"""Run coroutines from commands and handle stop signals."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop


def run_async(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a uvloop event loop and return its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)


def on_stop_signals(request_stop: Callable[[], None]) -> None:
    """Call ``request_stop`` on SIGTERM and SIGINT."""
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, request_stop)
