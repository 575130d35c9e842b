"""Memory that the bodies of waiting requests share."""

from typing import Final

import attrs

# In addition to what each body may buffer by itself.
SHARED_BYTES: Final = 33554432


@attrs.define(eq=False)
class ReadAhead:
    """Lend bytes of a shared buffer to bodies that nobody reads yet.

    >>> shared = ReadAhead(left_bytes=10)
    >>> shared.take(8), shared.take(8), shared.left_bytes
    (True, False, 2)
    >>> shared.give_back(8)
    >>> shared.take(8)
    True
    """

    left_bytes: int = SHARED_BYTES

    def take(self, size: int) -> bool:
        """Take bytes if there are as many; return whether there were."""
        if size > self.left_bytes:
            return False
        self.left_bytes -= size
        return True

    def give_back(self, size: int) -> None:
        """Return bytes that were taken."""
        self.left_bytes += size
