"""Fingerprints of requests that went to servers and got no answer yet.

A server that crashes late, perhaps after the caller has given up and sent
again, is told from its copies only by what is on record here.
"""

from collections import OrderedDict
from typing import Final

import attrs

SLOW_S: Final = 0.25  # peers hear of a request that runs for longer
RETELL_S: Final = 5.0  # and again for as long as it runs
LEFT_S: Final = 15.0  # how long a crash is laid to a request that was left
MAX_ANSWERED: Final = 10_000  # fingerprints
MAX_OPEN: Final = 10_000  # fingerprints


@attrs.define
class _Open:
    since: float
    told_at: float | None = None
    running: dict[str, int] = attrs.field(factory=dict)  # copies by server
    left: dict[str, float] = attrs.field(factory=dict)  # until, by server


@attrs.define
class Unanswered:
    """Say which servers hold copies of a request without an answer.

    >>> held = Unanswered()
    >>> held.begin('f', 'stockd.1', now=0)
    >>> held.servers('f', now=1)
    ('stockd.1',)
    >>> held.leave('f', 'stockd.1', now=1)
    True
    >>> held.servers('f', now=2), held.servers('f', now=99)
    (('stockd.1',), ())
    >>> held.begin('f', 'stockd.2', now=99)
    >>> held.answered('f')
    False
    >>> held.servers('f', now=99)
    ()
    """

    _open: dict[str, _Open] = attrs.field(factory=dict)
    # The oldest first; a plain dict finds its first key ever more slowly.
    _answered: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def begin(self, fingerprint: str, backend: str, now: float) -> None:
        """Note a copy sent, unless a like one was answered before."""
        if fingerprint in self._answered:
            return
        running = self._record(fingerprint, now).running
        running[backend] = running.get(backend, 0) + 1

    def end(self, fingerprint: str, backend: str) -> None:
        """Note that a copy is over and cannot crash its server any more."""
        held = self._open.get(fingerprint)
        if held is None or backend not in held.running:
            return
        held.running[backend] -= 1
        if not held.running[backend]:
            held.running.pop(backend)
        if not (held.running or held.left):
            self._open.pop(fingerprint)

    def leave(self, fingerprint: str, backend: str, now: float) -> bool:
        """Note that nobody waits for a copy; tell whether it matters."""
        if fingerprint in self._answered:
            return False
        self._record(fingerprint, now).left[backend] = now + LEFT_S
        self.end(fingerprint, backend)
        return True

    def hear(self, fingerprint: str, backend: str, now: float) -> None:
        """Note a copy that a peer has at a server."""
        if fingerprint in self._answered:
            return
        held = self._record(fingerprint, now)
        held.left[backend] = now + LEFT_S
        held.told_at = now

    def crashed(self, fingerprint: str, backend: str) -> None:
        """Forget the copies at a server that crashed under them."""
        self._answered.pop(fingerprint, None)
        held = self._open.get(fingerprint)
        if held is None:
            return
        held.left.pop(backend, None)
        held.running.pop(backend, None)
        if not (held.running or held.left):
            self._open.pop(fingerprint)

    def answered(self, fingerprint: str) -> bool:
        """Note an answer; tell whether peers had heard of copies."""
        held = self._open.pop(fingerprint, None)
        if fingerprint not in self._answered:
            if len(self._answered) >= MAX_ANSWERED:
                self._answered.popitem(last=False)
            self._answered[fingerprint] = None
        return held is not None and held.told_at is not None

    def is_young(self, fingerprint: str, now: float) -> bool:
        """Tell whether the first copy is so new that its answer may come."""
        held = self._open.get(fingerprint)
        if held is None or held.left or not held.running:
            return False
        return now - held.since < SLOW_S

    def servers(self, fingerprint: str, now: float) -> tuple[str, ...]:
        """Name the servers that may hold a copy, in order of first use."""
        held = self._open.get(fingerprint)
        if held is None:
            return ()
        _expire(held, now)
        return tuple(dict.fromkeys((*held.left, *held.running)))

    def due(self, now: float) -> list[tuple[str, str]]:
        """Give the fingerprints and servers that peers should hear of."""
        found: list[tuple[str, str]] = []
        for fingerprint, held in tuple(self._open.items()):
            _expire(held, now)
            if not held.running:
                if not held.left:
                    self._open.pop(fingerprint)
                continue
            if not _is_due(held, now):
                continue
            held.told_at = now
            found.extend((fingerprint, backend) for backend in held.running)
        return found

    def __len__(self) -> int:
        """Count the fingerprints without an answer."""
        return len(self._open)

    def _record(self, fingerprint: str, now: float) -> _Open:
        held = self._open.get(fingerprint)
        if held is None:
            if len(self._open) >= MAX_OPEN:
                self._open.pop(next(iter(self._open)))
            held = _Open(now)
            self._open[fingerprint] = held
        return held


def _expire(held: _Open, now: float) -> None:
    for backend, until in tuple(held.left.items()):
        if now > until:
            held.left.pop(backend)


def _is_due(held: _Open, now: float) -> bool:
    if now - held.since < SLOW_S:
        return False
    return held.told_at is None or now - held.told_at > RETELL_S
