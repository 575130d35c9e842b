"""Fingerprints of requests that were sent to servers and not yet answered.

A server may crash long after the caller gave up and sent the request again.
This record then identifies the request that the server was running.
"""

from collections import OrderedDict
from typing import Final

import attrs

SLOW_S: Final = 0.25  # a request that runs longer is reported to peers
REPORT_INTERVAL_S: Final = 5.0  # reporting interval while it runs
# Time after which a crash is no longer attributed to an abandoned copy.
ABANDONED_COPY_EXPIRY_S: Final = 15.0
MAX_ANSWERED: Final = 10_000  # fingerprints
MAX_OPEN: Final = 10_000  # fingerprints


@attrs.define
class _OpenRequest:
    since: float
    reported_at: float | None = None
    running: dict[str, int] = attrs.field(factory=dict)  # copies by server
    left: dict[str, float] = attrs.field(factory=dict)  # expiry by server


@attrs.define
class Unanswered:
    """Track the servers that hold copies of an unanswered request.

    >>> unanswered = Unanswered()
    >>> unanswered.begin('f', 'stockd.1', now=0)
    >>> unanswered.servers('f', now=1)
    ('stockd.1',)
    >>> unanswered.abandon('f', 'stockd.1', now=1)
    True
    >>> unanswered.servers('f', now=2), unanswered.servers('f', now=99)
    (('stockd.1',), ())
    >>> unanswered.begin('f', 'stockd.2', now=99)
    >>> unanswered.answered('f')
    False
    >>> unanswered.servers('f', now=99)
    ()
    """

    _open: dict[str, _OpenRequest] = attrs.field(factory=dict)
    # The oldest first. In a plain dict, finding the first key gets slower with
    # each key that was removed before it.
    _answered: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def begin(self, fingerprint: str, backend: str, now: float) -> None:
        """Record a copy sent, unless a request like it was answered."""
        if fingerprint in self._answered:
            return
        running = self._get_or_add(fingerprint, now).running
        running[backend] = running.get(backend, 0) + 1

    def end(self, fingerprint: str, backend: str) -> None:
        """Record that a copy ended and cannot crash its server any more."""
        request = self._open.get(fingerprint)
        if request is None or backend not in request.running:
            return
        request.running[backend] -= 1
        if not request.running[backend]:
            request.running.pop(backend)
        if not (request.running or request.left):
            self._open.pop(fingerprint)

    def abandon(self, fingerprint: str, backend: str, now: float) -> bool:
        """Record a copy that no caller awaits; return False if answered."""
        if fingerprint in self._answered:
            return False
        self._get_or_add(fingerprint, now).left[backend] = (
            now + ABANDONED_COPY_EXPIRY_S
        )
        self.end(fingerprint, backend)
        return True

    def record_peer_copy(
        self, fingerprint: str, backend: str, now: float
    ) -> None:
        """Record a copy that a peer has at a server."""
        if fingerprint in self._answered:
            return
        request = self._get_or_add(fingerprint, now)
        request.left[backend] = now + ABANDONED_COPY_EXPIRY_S
        request.reported_at = now

    def crashed(self, fingerprint: str, backend: str) -> None:
        """Drop the copies at a server that crashed while it ran them."""
        self._answered.pop(fingerprint, None)
        request = self._open.get(fingerprint)
        if request is None:
            return
        request.left.pop(backend, None)
        request.running.pop(backend, None)
        if not (request.running or request.left):
            self._open.pop(fingerprint)

    def answered(self, fingerprint: str) -> bool:
        """Record a response; return whether peers have a record of copies."""
        request = self._open.pop(fingerprint, None)
        if fingerprint not in self._answered:
            if len(self._answered) >= MAX_ANSWERED:
                self._answered.popitem(last=False)
            self._answered[fingerprint] = None
        return request is not None and request.reported_at is not None

    def may_be_answered_soon(self, fingerprint: str, now: float) -> bool:
        """Return whether the first copy may still be answered soon."""
        request = self._open.get(fingerprint)
        if request is None or request.left or not request.running:
            return False
        return now - request.since < SLOW_S

    def servers(self, fingerprint: str, now: float) -> tuple[str, ...]:
        """Return the servers that may hold a copy."""
        request = self._open.get(fingerprint)
        if request is None:
            return ()
        _drop_expired(request, now)
        return tuple(dict.fromkeys((*request.left, *request.running)))

    def due_reports(self, now: float) -> list[tuple[str, str]]:
        """Return the fingerprints and servers to report to peers."""
        found: list[tuple[str, str]] = []
        for fingerprint, request in tuple(self._open.items()):
            _drop_expired(request, now)
            if not request.running:
                if not request.left:
                    self._open.pop(fingerprint)
                continue
            if not _is_due(request, now):
                continue
            request.reported_at = now
            found.extend((fingerprint, backend) for backend in request.running)
        return found

    def __len__(self) -> int:
        """Count the unanswered fingerprints."""
        return len(self._open)

    def _get_or_add(self, fingerprint: str, now: float) -> _OpenRequest:
        request = self._open.get(fingerprint)
        if request is None:
            if len(self._open) >= MAX_OPEN:
                self._open.pop(next(iter(self._open)))
            request = _OpenRequest(now)
            self._open[fingerprint] = request
        return request


def _drop_expired(request: _OpenRequest, now: float) -> None:
    for backend, until in tuple(request.left.items()):
        if now > until:
            request.left.pop(backend)


def _is_due(request: _OpenRequest, now: float) -> bool:
    if now - request.since < SLOW_S:
        return False
    return (
        request.reported_at is None
        or now - request.reported_at > REPORT_INTERVAL_S
    )
