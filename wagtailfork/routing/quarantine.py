"""Fingerprints of requests that ran on backend servers that crashed."""

from typing import Final

import attrs

MAX_CRASHED_SERVERS: Final = 2
QUARANTINE_S: Final = 600.0
MAX_FINGERPRINTS: Final = 10_000


@attrs.define
class _Suspect:
    backends: set[str]
    last_strike_at: float


@attrs.define
class Quarantine:
    """Refuse requests that crashed ``MAX_CRASHED_SERVERS`` servers.

    >>> quarantine = Quarantine()
    >>> quarantine.strike('f', 'stockd.1', now=0)
    >>> quarantine.is_refused('f', now=1)
    False
    >>> quarantine.strike('f', 'stockd.2', now=1)
    >>> quarantine.is_refused('f', now=2), quarantine.is_refused('f', now=9999)
    (True, False)
    """

    _suspects: dict[str, _Suspect] = attrs.field(factory=dict)

    def strike(self, fingerprint: str, backend: str, now: float) -> None:
        """Record that a server crashed while it ran this request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_FINGERPRINTS:
                self._drop_oldest()
            suspect = _Suspect(set(), now)
            self._suspects[fingerprint] = suspect
        suspect.backends.add(backend)
        suspect.last_strike_at = now

    def absolve(self, fingerprint: str) -> None:
        """Drop a fingerprint after a complete response."""
        self._suspects.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint has a strike."""
        return fingerprint in self._suspects

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether the request must not be sent again."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if now - suspect.last_strike_at > QUARANTINE_S:
            self._suspects.pop(fingerprint)
            return False
        return len(suspect.backends) >= MAX_CRASHED_SERVERS

    def crashed(self, fingerprint: str) -> tuple[str, ...]:
        """Return the servers that crashed under this request."""
        suspect = self._suspects.get(fingerprint)
        return tuple(sorted(suspect.backends)) if suspect else ()

    def strikes(self, most: int) -> list[tuple[str, str]]:
        """Return at most ``most`` latest strikes, as fingerprint and server."""
        latest = sorted(
            self._suspects.items(),
            key=lambda pair: pair[1].last_strike_at,
        )
        rows = [
            (name, backend)
            for name, suspect in latest
            for backend in sorted(suspect.backends)
        ]
        return rows[-most:]

    def __len__(self) -> int:
        """Count the recorded fingerprints."""
        return len(self._suspects)

    def _drop_oldest(self) -> None:
        oldest = min(
            self._suspects,
            key=lambda name: self._suspects[name].last_strike_at,
        )
        self._suspects.pop(oldest)
