"""The failure domains to which nothing may be sent, by the operators."""

import logging
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.logs import log_event
from ..fleet.evacuation_rows import EvacuationRows
from ..fleet.position import NO_POSITION, START, Position

_MS: Final = 1000

_logger = logging.getLogger(__name__)


def _ignore(_source: str) -> None:
    """Ignore a change, for sets without a subscriber."""


@attrs.define(eq=False)
class Evacuations:
    """Hold the evacuated domains as of a position in the store.

    Positions only increase, whichever source updates arrive from. An evacuation
    that a restored store lacks is kept for ``settling_s``, in which the
    operators write it again.
    """

    settling_s: float
    on_change: Callable[[str], None] = _ignore
    known_to: Position = NO_POSITION
    _listed: set[str] = attrs.field(factory=set)
    _held: dict[str, float] = attrs.field(factory=dict)  # until when
    # Whether this VM or another one ever had an evacuation. Until then the
    # position is not sent, so that messages stay as they are without one.
    _seen: bool = False

    @property
    def domains(self) -> frozenset[str]:
        """Return the evacuated domains."""
        return frozenset(self._listed | self._held.keys())

    @property
    def position(self) -> Position:
        """Return the position for other VMs, ``START`` without evacuations."""
        return max(START, self.known_to) if self._seen else START

    def is_behind(self, position: Position) -> bool:
        """Return whether a VM with that position knows more.

        A VM that is behind hears of it, although this VM saw no evacuation.
        """
        if position <= START:
            return False
        self._seen = True
        return position > max(START, self.known_to)

    def apply_record(
        self, domain: str, position: Position, source: str, *, evacuated: bool
    ) -> None:
        """Apply one record; ``position`` is that of the next record."""
        if position <= self.known_to or position.era != self.known_to.era:
            return
        before = self.domains
        self.known_to = position
        if evacuated:
            self._listed.add(domain)
            self._seen = True
        else:
            self._listed.discard(domain)
            self._held.pop(domain, None)
        self._notify(before, source)

    def apply_listing(
        self, domains: Iterable[str], end: Position, source: str
    ) -> None:
        """Replace the domains by those of a full listing, unless it is older.

        Those that a listing of the same era lacks were ended.
        """
        if end < self.known_to:
            log_event(
                _logger,
                'evacuations_not_newer',
                position=end,
                in_use=self.known_to,
                source=source,
            )
            return
        self._replace(set(domains), end, source)

    def merge(self, rows: EvacuationRows, source: str) -> None:
        """Apply what another VM knows, if it is newer."""
        if not self.is_behind(rows.position):
            return
        held = {
            domain: now_s() + left_ms / _MS for domain, left_ms in rows.held
        }
        self._replace(set(rows.listed), rows.position, source, held)

    def rows(self) -> EvacuationRows | None:
        """Return what another VM needs to know, None without evacuations."""
        if not self._seen:
            return None
        now = now_s()
        return EvacuationRows(
            position=max(START, self.known_to),
            listed=tuple(sorted(self._listed)),
            held=tuple(
                (domain, max(0, round((until_s - now) * _MS)))
                for domain, until_s in self._held.items()
            ),
        )

    def remove_expired(self, now: float) -> None:
        """End the evacuations that were not written again after a restore."""
        before = self.domains
        for domain, until_s in list(self._held.items()):
            if now >= until_s:
                self._held.pop(domain)
        self._notify(before, 'lapse')

    def _replace(
        self,
        listed: set[str],
        position: Position,
        source: str,
        held: dict[str, float] | None = None,
    ) -> None:
        before = self.domains
        if NO_POSITION < self.known_to and self.known_to.era < position.era:
            until_s = now_s() + self.settling_s
            for domain in self._listed - listed:
                self._held[domain] = until_s
        self._held.update(held or {})
        self._listed = listed
        self.known_to = position
        self._seen = self._seen or bool(listed)
        self._notify(before, source)

    def _notify(self, before: frozenset[str], source: str) -> None:
        after = self.domains
        if before == after:
            return
        for joined in sorted(after - before):
            self._log('domain_evacuated', joined, source)
        for ended in sorted(before - after):
            self._log('domain_restored', ended, source)
        self.on_change(source)

    def _log(self, event: str, domain: str, source: str) -> None:
        log_event(
            _logger,
            event,
            domain=domain,
            source=source,
            position=self.known_to,
        )
