"""A supervisor that restarts its children, itself usable as a child."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from .logs import log_fault

ChildRun = Callable[[], Awaitable[None]]

_FIRST_BACKOFF_S: Final = 0.1
_LAST_BACKOFF_S: Final = 5.0

_logger = logging.getLogger(__name__)


@attrs.define
class Supervisor:
    """Run named children and restart each one that fails."""

    name: str
    _children: dict[str, ChildRun] = attrs.field(factory=dict)
    _tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    restarts: dict[str, int] = attrs.field(factory=dict)

    def add(self, name: str, run: ChildRun) -> None:
        """Add a child that ``run`` will start."""
        self._children[name] = run

    async def run(self) -> None:
        """Run every child until cancelled."""
        async with asyncio.TaskGroup() as group:
            for name, child in self._children.items():
                keeper = self._keep(name, child)
                self._tasks[name] = group.create_task(keeper)

    async def _keep(self, name: str, child: ChildRun) -> None:
        backoff = _FIRST_BACKOFF_S
        while True:
            try:
                await child()
            except Exception as exc:
                log_fault(
                    _logger,
                    'child_failed',
                    supervisor=self.name,
                    child=name,
                    error=repr(exc),
                )
            else:
                return
            self.restarts[name] = self.restarts.get(name, 0) + 1
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, _LAST_BACKOFF_S)
