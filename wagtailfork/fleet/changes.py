"""Recent changes of the server table, for incremental snapshots."""

from collections import deque
from typing import Final

import attrs

from .position import START, Position
from .snapshots import Change

MAX_CHANGES: Final = 512  # more than a release causes in one second


@attrs.define(eq=False)
class ChangeWindow:
    """Keep a contiguous window of the latest changes.

    >>> changes = ChangeWindow()
    >>> changes.restart(Position(1, 4))
    >>> changes.add(Change('a', None, Position(1, 5)))
    >>> [one.name for one in changes.since(Position(1, 4))]
    ['a']
    >>> changes.since(Position(1, 3)), changes.since(Position(0, 9))
    (None, None)
    """

    _start_position: Position = START
    _changes: deque[Change] = attrs.field(factory=deque)

    def restart(self, position: Position) -> None:
        """Clear the window and start it after the position of a full read."""
        self._changes.clear()
        self._start_position = position

    def add(self, change: Change) -> None:
        """Append the change that follows the last one."""
        self._changes.append(change)
        if len(self._changes) > MAX_CHANGES:
            self._start_position = self._changes.popleft().position

    def since(self, position: Position) -> tuple[Change, ...] | None:
        """Return the changes after a position, or None if some are missing."""
        if position < self._start_position:
            return None
        return tuple(one for one in self._changes if one.position > position)
