"""Local copy of the configuration and server table, with its age."""

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..fleet.changes import ChangeWindow
from ..fleet.configuration_delta import ConfigurationHistory, apply_delta
from ..fleet.position import NO_POSITION, Edition, Position
from ..fleet.snapshots import Change, Snapshot, unpack
from .evacuations import Evacuations
from .departures import Departures, is_superseded
from .model import BackendServer, Configuration

EXPIRED: Final = 'lapse'  # source name of changes made by a timeout
STORE: Final = 'store'
RESPONSE: Final = 'response'  # of a server
RECOVERY_WINDOW_S: Final = 3.0  # after an outage of the source ends
REREGISTER_S: Final = 2.0  # time for a running server to register again
# After a restore: the store drops a server after three missed statements, in
# 4.5 s, so what it lists from then on is not left over from the copy.
SETTLING_S: Final = 6.0

_logger = logging.getLogger(__name__)

DecodeConfiguration = Callable[[bytes], Configuration]
DecodeServer = Callable[[str, bytes], BackendServer]


def _ignore(_source: str) -> None:
    """Ignore a change, for views without a subscriber."""


@attrs.define(eq=False)
class View:
    """Store the newest configuration and the table of servers.

    Editions and positions only increase, whichever source updates arrive from.
    A table of a later era replaces the one in use, but does not bring back
    servers that are known to have left.
    """

    decode_configuration: DecodeConfiguration
    decode_server: DecodeServer
    # called with the name of the source of the change
    on_change: Callable[[str], None] = _ignore
    configuration: Configuration | None = None
    # Not in the representation, as it holds the keys of customers.
    raw_configuration: bytes = attrs.field(default=b'', repr=False)
    _configuration_era: int = 0
    _history: ConfigurationHistory = attrs.field(factory=ConfigurationHistory)
    # As the last delta could not be applied.
    wants_whole: bool = False
    _changes: ChangeWindow = attrs.field(factory=ChangeWindow)
    position: Position = NO_POSITION
    servers: dict[str, BackendServer] = attrs.field(factory=dict)
    changed_at_s: float = 0
    configured_at_s: float = 0
    _recovering_until_s: float = 0
    _expiring: dict[str, float] = attrs.field(factory=dict)
    # Entries that were put in use, and newer ones that were not, by server.
    # Together they say all that the source said up to the position.
    _raw_servers: dict[str, bytes] = attrs.field(factory=dict)
    set_aside: dict[str, bytes] = attrs.field(factory=dict)
    _departures: Departures = attrs.field(factory=Departures)
    _settling_until_s: float = 0
    # Servers whose entries of a restored store are older than what is known.
    _outdated: set[str] = attrs.field(factory=set)
    evacuations: Evacuations = attrs.field(
        factory=lambda: Evacuations(SETTLING_S)
    )

    def __attrs_post_init__(self) -> None:
        """Report changes of the evacuations like those of the servers."""
        self.evacuations.on_change = self._notify_change

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def edition(self) -> Edition:
        """Return the edition of the configuration in force."""
        return Edition(self.version, self._configuration_era)

    @property
    def complete(self) -> bool:
        """Return whether both the configuration and the servers are known."""
        return self.configuration is not None and self.position > NO_POSITION

    def offer_configuration(self, raw: bytes, era: int, source: str) -> bool:
        """Put a configuration in force if it is valid and newer.

        Another one of the same version is newer if it is of a later era.
        Return whether the one in force is now at least as new.
        """
        if not raw:
            return False
        self.wants_whole = False
        if raw == self.raw_configuration:
            if era > self._configuration_era:
                self._configuration_era = era
                self._history.add(self.edition, raw)
            return True
        try:
            found = self.decode_configuration(raw)
        except WagtailforkError as exc:
            log_warning(_logger, 'configuration_unreadable', error=exc)
            return False
        edition = Edition(found.version, era)
        if edition <= self.edition:
            log_event(
                _logger,
                'configuration_not_newer',
                edition=edition,
                in_force=self.edition,
                source=source,
            )
            return True
        if self.configuration is None:
            self._set_unknown_aside(found)
        self.configuration = found
        self._configuration_era = era
        self.raw_configuration = raw
        self._history.add(edition, raw)
        self.configured_at_s = now_s()
        self._try_set_aside(list(self.set_aside), source)
        self._notify_change(source)
        log_event(
            _logger,
            'configuration_in_force',
            version=found.version,
            era=era,
            routes=len(found.routes),
            set_aside=len(self.set_aside),
            source=source,
        )
        return True

    def replace_servers(
        self,
        table: Mapping[str, bytes],
        position: Position,
        source: str,
        set_aside: Mapping[str, bytes] | None = None,
    ) -> None:
        """Replace the whole table of servers unless a later one is known.

        A table of the same position is applied: keys missing from it were
        removed. Those missing from a table of a later era may only be missing
        from the copy. Another VM's table comes with what it has set aside.
        """
        if position < self.position:
            log_event(
                _logger,
                'table_not_newer',
                position=position,
                in_use=self.position,
                source=source,
            )
            return
        restored = self._enter_era(position.era)
        known = self._raw_servers.keys() | self.set_aside.keys()
        newer = set_aside or {}
        for name in known - table.keys() - newer.keys():
            self._remove(name, source, restored=restored)
        for name, raw in (*table.items(), *newer.items()):
            self._put(name, raw, source)
        self.position = position
        self._changes.restart(position)
        self._notify_change(source)

    def apply_server(
        self,
        name: str,
        raw: bytes | None,
        position: Position,
        source: str,
    ) -> None:
        """Apply one record; ``position`` is that of the next record."""
        if position <= self.position or position.era != self.position.era:
            return
        self.position = position
        if raw is None:
            self._remove(name, source)
        else:
            self._put(name, raw, source)
        self._changes.add(Change(name, raw, position))
        self._notify_change(source)

    def record_leaving(self, name: str) -> None:
        """Stop using a server that said that it leaves, whatever is listed.

        Only an entry of a newer process ends that.
        """
        server = self.servers.get(name)
        if server is None or server.draining:
            return
        leaving = attrs.evolve(server, draining=True)
        self.servers[name] = leaving
        self._departures.record(leaving)
        log_event(_logger, 'server_leaving', server=name)
        self._notify_change(RESPONSE)

    def start_recovery_window(self, now: float) -> None:
        """Record a source outage; removed servers are kept briefly after it."""
        self._recovering_until_s = now + RECOVERY_WINDOW_S

    def remove_expired(self, now: float) -> None:
        """Remove servers that did not register again in time.

        Apply the entries that were taken for older ones and are still listed
        once a restored store has settled.
        """
        self._departures.remove_expired(now)
        self.evacuations.remove_expired(now)
        if self._outdated and now >= self._settling_until_s:
            self._settling_until_s = 0
            self._try_set_aside(sorted(self._outdated), EXPIRED)
            self._outdated.clear()
            self._notify_change(EXPIRED)
        expired = [
            name for name, due_s in self._expiring.items() if now >= due_s
        ]
        for name in expired:
            self._expiring.pop(name)
            self.servers.pop(name, None)
            log_event(_logger, 'server_lapsed', server=name)
        self._try_set_aside(expired, EXPIRED)
        if expired:
            self._notify_change(EXPIRED)

    def snapshot(
        self, edition: Edition, position: Position, *, deltas: bool = False
    ) -> Snapshot:
        """Return the changes since an edition and a position."""
        configuration = self._newer_configuration(edition, deltas=deltas)
        if self.position <= position:
            return configuration
        changes = self._changes.since(position)
        if changes is not None:
            return attrs.evolve(
                configuration, position=self.position, changes=changes
            )
        return attrs.evolve(
            configuration,
            position=self.position,
            servers=dict(self._raw_servers),
            set_aside=dict(self.set_aside),
            departures=self._departures.rows(),
        )

    def merge(self, snapshot: Snapshot, source: str) -> None:
        """Apply a snapshot from another VM."""
        if snapshot.evacuations is not None:
            self.evacuations.merge(snapshot.evacuations, source)
        raw = self._received_configuration(snapshot, source)
        self.offer_configuration(raw, snapshot.configuration_era, source)
        if snapshot.servers is None:
            for change in snapshot.changes:
                self.apply_server(
                    change.name,
                    change.entry,
                    change.position,
                    source,
                )
        elif snapshot.position > self.position:
            self._departures.merge(snapshot.departures)
            self.replace_servers(
                snapshot.servers, snapshot.position, source, snapshot.set_aside
            )

    def _newer_configuration(
        self, edition: Edition, *, deltas: bool
    ) -> Snapshot:
        """Return a snapshot that holds the configuration alone."""
        found = Snapshot(
            configuration_era=self._configuration_era,
            evacuations=self.evacuations.rows(),
        )
        if self.edition <= edition:
            return found
        delta = self._history.delta_from(edition) if deltas else None
        if delta is None:
            packed = self._history.packed
            return attrs.evolve(found, packed_configuration=packed)
        return attrs.evolve(found, configuration_delta=delta)

    def _received_configuration(self, snapshot: Snapshot, source: str) -> bytes:
        """Return the document of a snapshot, empty if there is none."""
        delta = snapshot.configuration_delta
        if delta is None:
            return unpack(snapshot.packed_configuration)
        try:
            return apply_delta(delta, self.edition, self.raw_configuration)
        except WagtailforkError as exc:
            self.wants_whole = True
            log_warning(
                _logger,
                'delta_unusable',
                in_force=self.edition,
                source=source,
                error=exc,
            )
        return b''

    def _enter_era(self, era: int) -> bool:
        """Start to settle in a later era; return whether there was another."""
        if self.position != NO_POSITION and era == self.position.era:
            return False
        now = now_s()
        self._settling_until_s = now + SETTLING_S
        restored = self.position != NO_POSITION
        if restored:
            log_event(
                _logger, 'table_restored', era=era, before=self.position.era
            )
            self.start_recovery_window(now)
        return restored

    def _try_set_aside(self, names: Iterable[str], source: str) -> None:
        """Put entries that were set aside in use if they can be used now."""
        for name in names:
            raw = self.set_aside.get(name)
            if raw is not None:
                self._put(name, raw, source)

    def _is_current(self, name: str) -> bool:
        """Return whether nothing newer than a listed entry may be known."""
        if self._departures.get(name) is None:
            return True
        in_use = self.servers.get(name)
        return in_use is not None and in_use.draining

    def _reject_outdated(self, found: BackendServer, source: str) -> bool:
        """Return whether an entry is older than what is known of its server."""
        settling = now_s() < self._settling_until_s
        departure = self._departures.get(found.name)
        in_use = self.servers.get(found.name)
        if departure is not None and is_superseded(
            found, departure, settling=settling
        ):
            # Another VM may have told of the departure.
            if in_use is not None and not in_use.draining:
                self.servers.pop(found.name)
                self._raw_servers.pop(found.name, None)
        elif (
            not settling
            or in_use is None
            or found.age_order >= in_use.age_order
        ):
            return False
        if settling:
            self._outdated.add(found.name)
        log_event(
            _logger,
            'server_entry_outdated',
            server=found.name,
            born=found.started_ms,
            sequence=found.sequence,
            draining=found.draining,
            source=source,
        )
        return True

    def _set_unknown_aside(self, cfg: Configuration) -> None:
        """Remove servers listed before the first configuration was known."""
        for name, server in list(self.servers.items()):
            if server.service in cfg.services:
                continue
            self.servers.pop(name)
            raw = self._raw_servers.pop(name, None)
            if raw is not None:
                # One without an entry was unlisted and only held.
                self.set_aside.setdefault(name, raw)

    def _reject_misplaced(self, found: BackendServer, source: str) -> bool:
        """Return whether an entry cannot be of the server that it names.

        A process keeps its service. An entry of a service that is not
        configured is tried again with the next configuration.
        """
        in_use = self.servers.get(found.name)
        cfg = self.configuration
        why = ''
        if cfg is not None and found.service not in cfg.services:
            why = 'service_unknown'
        elif in_use is not None and _has_moved(found, in_use):
            why = 'process_moved'
        if why:
            log_warning(
                _logger,
                'server_misplaced',
                server=found.name,
                why=why,
                service=found.service,
                address=found.address,
                source=source,
            )
        return bool(why)

    def _put(self, name: str, raw: bytes, source: str) -> None:
        """Put an entry in use, or set it aside if it cannot be used."""
        if self._raw_servers.get(name) == raw and self._is_current(name):
            self.set_aside.pop(name, None)
            self._outdated.discard(name)
            return
        self.set_aside[name] = raw
        try:
            found = self.decode_server(name, raw)
        except WagtailforkError as exc:
            # An unreadable entry does not replace a known server.
            log_warning(_logger, 'server_unreadable', server=name, error=exc)
            return
        if self._reject_misplaced(found, source):
            return
        if self._reject_outdated(found, source):
            return
        self._raw_servers[name] = self.set_aside.pop(name)
        self._outdated.discard(name)
        if found.draining:
            self._departures.record(found)
        else:
            self._departures.forget(name)
        self.servers[name] = found
        self._expiring.pop(name, None)
        log_event(
            _logger,
            'server_listed',
            server=name,
            service=found.service,
            draining=found.draining,
            source=source,
        )

    def _remove(
        self, name: str, source: str, *, restored: bool = False
    ) -> None:
        self._raw_servers.pop(name, None)
        self.set_aside.pop(name, None)
        self._outdated.discard(name)
        server = self.servers.get(name)
        if server is None:
            return
        if server.draining or not restored:
            self._departures.record(server)
        now = now_s()
        held = now < self._recovering_until_s and not server.draining
        if held:
            self._expiring[name] = now + REREGISTER_S
        else:
            self.servers.pop(name)
        log_event(
            _logger,
            'server_unlisted',
            server=name,
            source=source,
            held=held,
        )

    def _notify_change(self, source: str) -> None:
        self.changed_at_s = now_s()
        self.on_change(source)


def _has_moved(found: BackendServer, in_use: BackendServer) -> bool:
    """Return whether one process would have two services."""
    same_process = found.started_ms == in_use.started_ms
    return same_process and found.service != in_use.service
