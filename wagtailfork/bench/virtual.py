"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Advance a clock by the time that the loop wants to wait."""

    def __init__(self) -> None:
        """Start the clock at zero."""
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Jump over the wait."""
        if timeout is None:
            raise RuntimeError('nothing left to wait for')
        self.now += max(0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run callbacks in the order of a virtual clock, seconds."""

    def __init__(self) -> None:
        """Use the jumping selector."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Give the virtual time."""
        return self._jumping.now
