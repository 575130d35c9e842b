"""Copies of requests that servers may be running although nobody awaits them.

A server may go on with a request whose caller has left, whose deadline has
passed or whose connection was lost. If it crashes then, the request may be why.
"""

from typing import Final

import attrs

MAX_COPIES: Final = 16  # at one server; the latest ones


@attrs.frozen
class AbandonedCopy:
    """Hold one copy and the time after which no server runs it any more."""

    fingerprint: str
    until_s: float
    trial: bool = False  # of a request in quarantine


@attrs.define
class AbandonedCopies:
    """Hold the abandoned copies at each server.

    >>> copies = AbandonedCopies()
    >>> copies.add('stockd.1', AbandonedCopy('f', until_s=2))
    >>> copies.add('stockd.1', AbandonedCopy('g', until_s=1))
    >>> copies.expire('stockd.1', now=1)
    [AbandonedCopy(fingerprint='g', until_s=1, trial=False)]
    >>> [copy.fingerprint for copy in copies.take('stockd.1')]
    ['f']
    >>> copies.has('stockd.1')
    False
    """

    _by_server: dict[str, dict[str, AbandonedCopy]] = attrs.field(factory=dict)

    def add(self, server: str, copy: AbandonedCopy) -> None:
        """Record a copy, in place of an earlier one of the same request."""
        copies = self._by_server.setdefault(server, {})
        earlier = copies.pop(copy.fingerprint, copy)
        copies[copy.fingerprint] = attrs.evolve(
            copy,
            until_s=max(earlier.until_s, copy.until_s),
            trial=earlier.trial or copy.trial,
        )
        if len(copies) > MAX_COPIES:
            copies.pop(next(iter(copies)))

    def has(self, server: str) -> bool:
        """Return whether a server may be running a copy."""
        return server in self._by_server

    def take(self, server: str) -> list[AbandonedCopy]:
        """Remove and return the copies of a server that has ended."""
        return list(self._by_server.pop(server, {}).values())

    def next_end_s(self, server: str) -> float:
        """Return when the first of the copies ends, 0 if there is none."""
        copies = self._by_server.get(server, {})
        return min((one.until_s for one in copies.values()), default=0)

    def expire(self, server: str, now: float) -> list[AbandonedCopy]:
        """Remove and return the copies that a server can't be running."""
        copies = self._by_server.get(server, {})
        ended = [one for one in copies.values() if one.until_s <= now]
        for one in ended:
            copies.pop(one.fingerprint)
        if not copies:
            self._by_server.pop(server, None)
        return ended
