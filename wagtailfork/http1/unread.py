"""Memory that responses take until their callers read them."""

import fcntl
import struct
import termios
from typing import Any, Final

import attrs

_INT: Final = struct.Struct('i')
# Of a connection whose caller does not read; above it, nothing is started.
UNREAD_LIMIT_BYTES: Final = 8388608
SHARED_LIMIT_BYTES: Final = 33554432  # of all such connections


def kernel_queue_bytes(transport: Any) -> int:
    """Return what the kernel has of a transport and nobody has taken.

    The kernel takes more from a transport in large steps only, so that alone
    shows no progress. Return 0 where it can't be asked.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return 0
    try:
        raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return 0
    count: int = _INT.unpack(raw)[0]
    return count


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
