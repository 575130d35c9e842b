"""Fingerprints of requests that ran on backend servers that crashed."""

from collections.abc import Iterable
from typing import Final

import attrs

MAX_CRASHED_SERVERS: Final = 2
QUARANTINE_S: Final = 600.0
MAX_FINGERPRINTS: Final = 10_000
MAX_ABSOLVED: Final = 10_000  # strikes that are remembered not to count


@attrs.frozen
class Crash:
    """Name the process of a server that was lost while it ran a request."""

    server: str
    started_ms: int = 0  # of the process, if known


@attrs.define
class _Suspect:
    last_strike_at: float
    # Whether the request was sent as a trial, by what it was lost with.
    crashes: dict[Crash, bool] = attrs.field(factory=dict)


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

    kept_s: float = QUARANTINE_S  # after the last strike
    _suspects: dict[str, _Suspect] = attrs.field(factory=dict)
    # Strikes that may be received once more after they were absolved.
    _absolved: dict[tuple[str, Crash], None] = attrs.field(factory=dict)

    def strike(
        self,
        fingerprint: str,
        backend: str,
        now: float,
        started_ms: int = 0,
        *,
        trial: bool = False,
    ) -> None:
        """Record that a server crashed while it ran this request."""
        crash = Crash(backend, started_ms)
        if (fingerprint, crash) in self._absolved:
            return
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_FINGERPRINTS:
                self._drop_oldest()
            suspect = _Suspect(now)
            self._suspects[fingerprint] = suspect
        if crash not in suspect.crashes:
            suspect.last_strike_at = now
        suspect.crashes[crash] = trial or suspect.crashes.get(crash, False)

    def absolve(self, fingerprint: str) -> None:
        """Drop a fingerprint after a complete response."""
        self._suspects.pop(fingerprint, None)

    def absolve_crashes(
        self, fingerprint: str, crashes: Iterable[Crash]
    ) -> bool:
        """Drop strikes for good; return whether one of them was not yet."""
        known = len(self._absolved)
        suspect = self._suspects.get(fingerprint)
        for crash in crashes:
            self._absolved[fingerprint, crash] = None
            if suspect is not None:
                suspect.crashes.pop(crash, None)
        is_new = len(self._absolved) > known
        while len(self._absolved) > MAX_ABSOLVED:
            self._absolved.pop(next(iter(self._absolved)))
        if suspect is not None and not suspect.crashes:
            self._suspects.pop(fingerprint)
        return is_new

    def absolved(
        self, fingerprint: str, crashes: Iterable[Crash]
    ) -> tuple[Crash, ...]:
        """Return those of some strikes that were absolved."""
        return tuple(
            one for one in crashes if (fingerprint, one) in self._absolved
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint has a strike."""
        return fingerprint in self._suspects

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether the request must not be sent again."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if now - suspect.last_strike_at > self.kept_s:
            self._suspects.pop(fingerprint)
            return False
        return len(suspect.crashes) >= MAX_CRASHED_SERVERS

    def crashes(self, fingerprint: str) -> tuple[Crash, ...]:
        """Return the processes that were lost with this request."""
        suspect = self._suspects.get(fingerprint)
        return tuple(suspect.crashes) if suspect else ()

    def crashed(self, fingerprint: str) -> tuple[str, ...]:
        """Return the servers that crashed under this request."""
        return tuple(sorted({one.server for one in self.crashes(fingerprint)}))

    def failed_trials(self, fingerprint: str) -> int:
        """Count the strikes of trials."""
        suspect = self._suspects.get(fingerprint)
        return sum(suspect.crashes.values()) if suspect else 0

    def last_strike_s(self, fingerprint: str) -> float:
        """Return when the last strike was first heard of, 0 if none."""
        suspect = self._suspects.get(fingerprint)
        return suspect.last_strike_at if suspect else 0

    def strikes(self, most: int) -> list[tuple[str, Crash, bool]]:
        """Return the latest strikes: fingerprint, crash, whether a trial."""
        latest = sorted(
            self._suspects.items(),
            key=lambda pair: pair[1].last_strike_at,
        )
        rows = [
            (name, crash, trial)
            for name, suspect in latest
            for crash, trial in suspect.crashes.items()
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
