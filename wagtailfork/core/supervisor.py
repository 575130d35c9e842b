"""A supervisor that restarts failed child tasks; supervisors can be nested."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from .clock import now_s
from .logs import log_warning

ChildRun = Callable[[], Awaitable[None]]

_MIN_BACKOFF_S: Final = 0.1
_MAX_BACKOFF_S: Final = 5.0
STABLE_AFTER_S: Final = 10.0  # a run this long resets the backoff

_logger = logging.getLogger(__name__)


@attrs.define
class Supervisor:
    """Run named child tasks and restart each that fails, with a backoff."""

    name: str
    _children: dict[str, ChildRun] = attrs.field(factory=dict)
    _tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    restarts: dict[str, int] = attrs.field(factory=dict)

    def add(self, name: str, run: ChildRun) -> None:
        """Add a child for ``run`` to start."""
        self._children[name] = run

    async def run(self) -> None:
        """Run all children until they return or this task is cancelled."""
        async with asyncio.TaskGroup() as group:
            for name, child in self._children.items():
                coroutine = self._run_with_restarts(name, child)
                self._tasks[name] = group.create_task(coroutine)

    async def _run_with_restarts(self, name: str, child: ChildRun) -> None:
        backoff_s = _MIN_BACKOFF_S
        while True:
            started_s = now_s()
            try:
                await child()
            except Exception as exc:
                log_warning(
                    _logger,
                    'child_failed',
                    supervisor=self.name,
                    child=name,
                    error=repr(exc),
                )
            else:
                return
            if now_s() - started_s > STABLE_AFTER_S:
                backoff_s = _MIN_BACKOFF_S
            self.restarts[name] = self.restarts.get(name, 0) + 1
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
