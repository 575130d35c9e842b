"""Event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from typing import Any


class _VirtualSelector(selectors.SelectSelector):
    """Advance a virtual clock by the timeout that the loop requests."""

    def __init__(self) -> None:
        """Start the clock at zero."""
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the timeout and return no event."""
        if timeout is None:
            raise RuntimeError(
                'no timer is pending; the loop would wait forever'
            )
        self.now_s += max(0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers on a virtual clock, without real delays."""

    def __init__(self) -> None:
        """Use a selector with a virtual clock."""
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s
