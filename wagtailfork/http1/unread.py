"""Memory that responses take until their callers read them."""

from typing import Final

import attrs

# Of a connection whose caller does not read; above it, nothing is started.
UNREAD_LIMIT_BYTES: Final = 8388608
SHARED_LIMIT_BYTES: Final = 33554432  # of all such connections


@attrs.define(eq=False)
class UnreadTotal:
    """Sum what the callers of a server have not read."""

    size: int = 0


@attrs.define(eq=False)
class UnreadResponses:
    """Count the bytes that one caller has been sent and has not read.

    >>> total = UnreadTotal()
    >>> one, other = UnreadResponses(total), UnreadResponses(total)
    >>> one.update(SHARED_LIMIT_BYTES + 1)
    >>> one.excessive, other.excessive
    (True, True)
    >>> one.update(0)
    >>> one.excessive, other.excessive, total.size
    (False, False, 0)
    """

    _total: UnreadTotal
    size: int = 0

    @property
    def excessive(self) -> bool:
        """Return whether no more responses may be fetched for its caller."""
        own = self.size > UNREAD_LIMIT_BYTES
        return own or self._total.size > SHARED_LIMIT_BYTES

    def update(self, size: int) -> None:
        """Set the number of unread bytes."""
        self._total.size += size - self.size
        self.size = size
