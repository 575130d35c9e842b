"""Run coroutines from commands, with signals that ask for a planned stop."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop


def run_async(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a fast event loop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work)


def on_stop_signals(ask_stop: Callable[[], None]) -> None:
    """Call ``ask_stop`` on SIGTERM and SIGINT."""
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, ask_stop)
