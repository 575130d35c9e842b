"""What a gateway believes of configuration and servers, and how old it is."""

import logging
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_fault
from ..fleet.changes import Changes
from ..fleet.snapshots import Change, Snapshot, pack, unpack
from .model import BackendServer, Configuration

NO_POSITION: Final = -1
LAPSED: Final = 'lapse'  # a change that no source brought
STORE: Final = 'store'
RECOVERY_WINDOW_S: Final = (
    3.0  # after the source's return, for entries to come back
)
REREGISTER_S: Final = 2.0  # within which a living server registers again

_logger = logging.getLogger(__name__)

DecodeConfiguration = Callable[[bytes], Configuration]
DecodeServer = Callable[[str, bytes], BackendServer]


def _ignore(_source: str) -> None:
    """Do nothing on a change."""


@attrs.define(eq=False)
class View:
    """Keep the newest configuration and the table of servers.

    Versions and positions only rise, whichever source brings them.
    """

    decode_configuration: DecodeConfiguration
    decode_server: DecodeServer
    on_change: Callable[[str], None] = _ignore  # with where it came from
    configuration: Configuration | None = None
    raw_configuration: bytes = b''
    _packed: bytes = b''
    _changes: Changes = attrs.field(factory=Changes)
    position: int = NO_POSITION
    servers: dict[str, BackendServer] = attrs.field(factory=dict)
    changed_at_s: float = 0
    configured_at_s: float = 0
    _recovering_until_s: float = 0
    _lapsed: dict[str, float] = attrs.field(factory=dict)
    _raw_servers: dict[str, bytes] = attrs.field(factory=dict)

    @property
    def version(self) -> int:
        """Give the version in force, 0 without any."""
        return self.configuration.version if self.configuration else 0

    @property
    def complete(self) -> bool:
        """Tell whether requests can be served from this view."""
        return self.configuration is not None and self.position > NO_POSITION

    def offer_configuration(self, raw: bytes, source: str) -> None:
        """Put a configuration in force if it is newer and readable."""
        if not raw or raw == self.raw_configuration:
            return
        try:
            found = self.decode_configuration(raw)
        except WagtailforkError as exc:
            log_fault(_logger, 'configuration_unreadable', error=exc)
            return
        if found.version <= self.version:
            return
        self.configuration = found
        self.raw_configuration = raw
        self._packed = pack(raw)
        self.configured_at_s = now_s()
        self._note_change(source)
        log_event(
            _logger,
            'configuration_in_force',
            version=found.version,
            routes=len(found.routes),
            source=source,
        )

    def replace_servers(
        self,
        table: Mapping[str, bytes],
        position: int,
        source: str,
    ) -> None:
        """Take over a whole table unless a later one is known.

        A table of the same position counts: keys that it lacks have gone.
        """
        if position < self.position:
            return
        gone = self._raw_servers.keys() - table.keys()
        for name in gone:
            self._remove(name, source)
        for name, raw in table.items():
            self._put(name, raw, source)
        self.position = position
        self._changes.restart(position)
        self._note_change(source)

    def apply_server(
        self,
        name: str,
        raw: bytes | None,
        position: int,
        source: str,
    ) -> None:
        """Apply one record; ``position`` is the one after it."""
        if position <= self.position:
            return
        self.position = position
        if raw is None:
            self._remove(name, source)
        else:
            self._put(name, raw, source)
        self._changes.add(Change(name, raw, position))
        self._note_change(source)

    def note_trouble(self, now: float) -> None:
        """Note that the source is away: entries may lapse that come back."""
        self._recovering_until_s = now + RECOVERY_WINDOW_S

    def drop_lapsed(self, now: float) -> None:
        """Drop servers whose entries have not come back in time."""
        gone = [name for name, due_s in self._lapsed.items() if now >= due_s]
        for name in gone:
            self._lapsed.pop(name)
            self.servers.pop(name, None)
            log_event(_logger, 'server_lapsed', server=name)
        if gone:
            self._note_change(LAPSED)

    def snapshot(self, version: int, position: int) -> Snapshot:
        """Give what is newer than a version and a position."""
        packed = self._packed if self.version > version else b''
        if self.position <= position:
            return Snapshot(packed_configuration=packed)
        changes = self._changes.since(position)
        return Snapshot(
            packed_configuration=packed,
            position=self.position,
            servers=dict(self._raw_servers) if changes is None else None,
            changes=changes or (),
        )

    def merge(self, snapshot: Snapshot, source: str) -> None:
        """Take over what another VM knows."""
        packed = snapshot.packed_configuration
        if packed:
            self.offer_configuration(unpack(packed), source)
        if snapshot.servers is None:
            for change in snapshot.changes:
                self.apply_server(
                    change.name,
                    change.entry,
                    change.position,
                    source,
                )
        elif snapshot.position > self.position:
            self.replace_servers(snapshot.servers, snapshot.position, source)

    def _put(self, name: str, raw: bytes, source: str) -> None:
        if self._raw_servers.get(name) == raw:
            return
        self._raw_servers[name] = raw
        try:
            found = self.decode_server(name, raw)
        except WagtailforkError as exc:
            # Another writer's entry names no server; one known before stays.
            log_fault(_logger, 'server_unreadable', server=name, error=exc)
            return
        self.servers[name] = found
        self._lapsed.pop(name, None)
        log_event(
            _logger,
            'server_listed',
            server=name,
            service=found.service,
            draining=found.draining,
            source=source,
        )

    def _remove(self, name: str, source: str) -> None:
        self._raw_servers.pop(name, None)
        server = self.servers.get(name)
        if server is None:
            return
        now = now_s()
        held = now < self._recovering_until_s and not server.draining
        if held:
            self._lapsed[name] = now + REREGISTER_S
        else:
            self.servers.pop(name)
        log_event(
            _logger,
            'server_unlisted',
            server=name,
            source=source,
            held=held,
        )

    def _note_change(self, source: str) -> None:
        self.changed_at_s = now_s()
        self.on_change(source)
