"""Local copy of the configuration and server table, with its age."""

import logging
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..fleet.changes import ChangeWindow
from ..fleet.snapshots import Change, Snapshot, pack, unpack
from .model import BackendServer, Configuration

NO_POSITION: Final = -1
EXPIRED: Final = 'lapse'  # source name of changes made by a timeout
STORE: Final = 'store'
RECOVERY_WINDOW_S: Final = 3.0  # after an outage of the source ends
REREGISTER_S: Final = 2.0  # time for a running server to register again

_logger = logging.getLogger(__name__)

DecodeConfiguration = Callable[[bytes], Configuration]
DecodeServer = Callable[[str, bytes], BackendServer]


def _ignore(_source: str) -> None:
    """Ignore a change, for views without a subscriber."""


@attrs.define(eq=False)
class View:
    """Store the newest configuration and the table of servers.

    Versions and positions only increase, whichever source updates arrive from.
    """

    decode_configuration: DecodeConfiguration
    decode_server: DecodeServer
    # called with the name of the source of the change
    on_change: Callable[[str], None] = _ignore
    configuration: Configuration | None = None
    raw_configuration: bytes = b''
    _packed: bytes = b''
    _changes: ChangeWindow = attrs.field(factory=ChangeWindow)
    position: int = NO_POSITION
    servers: dict[str, BackendServer] = attrs.field(factory=dict)
    changed_at_s: float = 0
    configured_at_s: float = 0
    _recovering_until_s: float = 0
    _expiring: dict[str, float] = attrs.field(factory=dict)
    _raw_servers: dict[str, bytes] = attrs.field(factory=dict)

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def complete(self) -> bool:
        """Return whether both the configuration and the servers are known."""
        return self.configuration is not None and self.position > NO_POSITION

    def offer_configuration(self, raw: bytes, source: str) -> None:
        """Put a configuration in force if it is valid and newer."""
        if not raw or raw == self.raw_configuration:
            return
        try:
            found = self.decode_configuration(raw)
        except WagtailforkError as exc:
            log_warning(_logger, 'configuration_unreadable', error=exc)
            return
        if found.version <= self.version:
            log_event(
                _logger,
                'configuration_not_newer',
                version=found.version,
                in_force=self.version,
                source=source,
            )
            return
        self.configuration = found
        self.raw_configuration = raw
        self._packed = pack(raw)
        self.configured_at_s = now_s()
        self._notify_change(source)
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
        """Replace the whole table of servers unless a later one is known.

        A table of the same position is applied: keys missing from it were
        removed.
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
        removed = self._raw_servers.keys() - table.keys()
        for name in removed:
            self._remove(name, source)
        for name, raw in table.items():
            self._put(name, raw, source)
        self.position = position
        self._changes.restart(position)
        self._notify_change(source)

    def apply_server(
        self,
        name: str,
        raw: bytes | None,
        position: int,
        source: str,
    ) -> None:
        """Apply one record; ``position`` is that of the next record."""
        if position <= self.position:
            return
        self.position = position
        if raw is None:
            self._remove(name, source)
        else:
            self._put(name, raw, source)
        self._changes.add(Change(name, raw, position))
        self._notify_change(source)

    def start_recovery_window(self, now: float) -> None:
        """Record a source outage; removed servers are kept briefly after it."""
        self._recovering_until_s = now + RECOVERY_WINDOW_S

    def remove_expired(self, now: float) -> None:
        """Remove servers that did not register again in time."""
        expired = [
            name for name, due_s in self._expiring.items() if now >= due_s
        ]
        for name in expired:
            self._expiring.pop(name)
            self.servers.pop(name, None)
            log_event(_logger, 'server_lapsed', server=name)
        if expired:
            self._notify_change(EXPIRED)

    def snapshot(self, version: int, position: int) -> Snapshot:
        """Return the changes since a version and a position."""
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
        """Apply a snapshot from another VM."""
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
            # An unreadable entry does not replace a known server.
            log_warning(_logger, 'server_unreadable', server=name, error=exc)
            return
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

    def _remove(self, name: str, source: str) -> None:
        self._raw_servers.pop(name, None)
        server = self.servers.get(name)
        if server is None:
            return
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
