"""Configuration, servers and registered VMs in the platform's store."""

import asyncio
import functools
import json
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..core.results import ResultCode
from ..fleet.member import Member
from ..fleet.position import NO_POSITION, Position
from ..fleet.wire_values import as_address, as_text
from ..gateway.freshness import confirmed_by_read
from ..gateway.poll_watch import PollWatch
from ..gateway.topic_load import LoadClaim, TopicStatus
from ..gateway.view import STORE, View
from ..http1.body import Body
from .evacuations import apply_evacuations, list_evacuated
from .store import KeyedRecord, Listing, PositionLost, StoreClient
from .traffic import TRAFFIC_TOPIC, render_summary

_CONFIG_TOPIC: Final = 'keyed.op'
_CONFIG_KEY: Final = 'config'
_SERVERS_TOPIC: Final = 'keyed.servers'
_VMS_TOPIC: Final = 'keyed.wagtailfork-vms'
_ENTRY_ERRORS: Final = (KeyError, RecursionError, TypeError, ValueError)
_ELECTION_CHECK_S: Final = 0.1  # a sixteenth of a reader's lease

_logger = logging.getLogger(__name__)


async def _start_at_once() -> bool:
    return True


@attrs.define(eq=False)
class PlatformSource:
    """Apply changes in the store to the view while ``should_read`` is true."""

    store: StoreClient
    view: View
    should_read: Callable[[], bool]
    on_status: Callable[[], None]  # called when a topic is reached or lost
    watch: PollWatch
    # Called with the time up to which all of the configuration was applied.
    on_confirmed: Callable[[float], None]
    _config_status: TopicStatus = attrs.field(
        factory=lambda: TopicStatus(_CONFIG_TOPIC)
    )
    _servers_status: TopicStatus = attrs.field(
        factory=lambda: TopicStatus(_SERVERS_TOPIC)
    )
    _claim: LoadClaim = attrs.field(init=False)
    _config_position: Position | None = None
    # Whether a listing may have hidden a configuration behind its newest
    # record, which could not be read.
    _may_lack: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the claim on the configuration."""
        self._claim = LoadClaim(
            status=self._config_status,
            probe=self._servers_status,
            in_use=lambda: self.view.configuration is not None,
            store_call_s=lambda: self.store.fastest_s,
            announce=self.on_status,
        )

    @property
    def reads_store(self) -> bool:
        """Return whether the store answers this VM on both topics.

        A long answer counts for a while, so that the other VMs of the domain
        don't load the same beside it.
        """
        config = self._config_status
        if config.claimed and config.loads:
            # The servers may be what fails.
            return True
        return config.is_read and self._servers_status.is_read

    @property
    def usage(self) -> StoreClient:
        """Return the client, which counts calls and bytes."""
        return self.store

    @property
    def failing(self) -> bool:
        """Return whether the last read of either topic failed."""
        return bool(
            self._config_status.failures or self._servers_status.failures
        )

    @property
    def read_at_s(self) -> float:
        """Return the time of the last read of the topic read longest ago."""
        return min(
            self._config_status.read_at_s, self._servers_status.read_at_s
        )

    async def follow_configuration(self) -> None:
        """Apply configuration changes to the view until cancelled."""
        await self._follow_topic(
            self._config_status, self._read_configuration, self._claim.may_load
        )

    async def follow_servers(self) -> None:
        """Apply changes of the servers to the view until cancelled."""
        await self._follow_topic(
            self._servers_status, self._read_servers, _start_at_once
        )

    async def list_vms(self) -> list[Member]:
        """Return the registered VMs."""
        listing = await self.store.list_newest(_VMS_TOPIC)
        members = []
        for key, raw in listing.records.items():
            try:
                members.append(_parse_vm(key, raw))
            except _ENTRY_ERRORS as exc:
                log_warning(_logger, 'vm_unreadable', peer=key, error=repr(exc))
        return members

    async def register_vm(self, me: Member) -> None:
        """Register this VM."""
        await self.store.put_keyed(_VMS_TOPIC, me.address, _render_vm(me))

    async def deregister_vm(self, address: str) -> None:
        """Remove the registration of a VM."""
        await self.store.put_keyed(_VMS_TOPIC, address, b'')

    async def append_traffic(self, summary: Any) -> None:
        """Append one traffic summary."""
        await self.store.append(TRAFFIC_TOPIC, render_summary(summary))

    async def _follow_topic(
        self,
        status: TopicStatus,
        read_once: Callable[[], Any],
        may_start: Callable[[], Awaitable[bool]],
    ) -> None:
        while True:
            if not self.should_read():
                status.record_pause()
                self.on_status()
                await asyncio.sleep(_ELECTION_CHECK_S)
                continue
            if status.ok or await may_start():
                await self._read_topic(status, read_once)

    async def _read_topic(
        self, status: TopicStatus, read_once: Callable[[], Any]
    ) -> None:
        try:
            await read_once()
        except WagtailforkError as exc:
            status.record_failure(str(exc))
            self.on_status()
            self.view.start_recovery_window(now_s())
            await asyncio.sleep(status.backoff_s())
        else:
            status.record_success()
            self.on_status()

    def _record_answer(
        self, status: TopicStatus, begin: Callable[[], None], body: Body
    ) -> None:
        begin()
        status.record_load(body)
        self.on_status()

    async def _read_records(
        self, status: TopicStatus, start: Position, wait_s: float
    ) -> tuple[list[KeyedRecord], Position]:
        try:
            async with self.watch.limit(status.name, wait_s) as begin:
                return await self.store.read_keyed(
                    status.name,
                    start,
                    wait_s,
                    functools.partial(self._record_answer, status, begin),
                )
        except TimeoutError as exc:
            self.store.drop_idle()
            limit_s = self.watch.limit_of(wait_s)
            raise WagtailforkError(
                ResultCode.log_unavailable,
                f'{status.name}: no answer to any poll in {limit_s} s',
            ) from exc

    async def _list(self, status: TopicStatus) -> Listing:
        with self.watch.receive(status.name) as begin:
            return await self.store.list_newest(
                status.name,
                functools.partial(self._record_answer, status, begin),
            )

    def _next_wait_s(self, status: TopicStatus) -> float:
        # The first read does not wait, so its success is known at once.
        return self.watch.next_wait_s(status.name) if status.ok else 0

    async def _read_configuration(self) -> None:
        began_s = now_s()
        if self._config_position is None:
            listing = await self._list(self._config_status)
            self.view.evacuations.apply_listing(
                list_evacuated(listing.records), listing.end, STORE
            )
            raw = listing.records.get(_CONFIG_KEY)
            self._may_lack = not self._offer_configuration(raw, listing.end)
            self._config_position = listing.end
            self._confirm(began_s)
            return
        wait_s = self._next_wait_s(self._config_status)
        try:
            records, end = await self._read_records(
                self._config_status, self._config_position, wait_s
            )
        except PositionLost as exc:
            log_event(_logger, 'position_lost', error=exc)
            self._config_position = None
            await asyncio.sleep(self.watch.settle_s)
            return
        empty = end == self._config_position
        apply_evacuations(self.view.evacuations, records, end.era, STORE)
        for record in records:
            if record.key != _CONFIG_KEY:
                continue
            if self._offer_configuration(record.payload, end):
                self._may_lack = False
        self._config_position = end
        if end.offset < self.store.ends.get(_CONFIG_TOPIC, end.offset):
            return  # the answer was too long for all records
        self._confirm(confirmed_by_read(began_s, now_s(), wait_s, empty=empty))

    def _confirm(self, confirmed_s: float) -> None:
        if not self._may_lack:
            self.on_confirmed(confirmed_s)

    def _offer_configuration(self, raw: bytes | None, end: Position) -> bool:
        """Return whether the one in force is now at least as new."""
        if raw is None:
            return False
        return self.view.offer_configuration(raw, end.era, STORE)

    async def _read_servers(self) -> None:
        if self.view.position == NO_POSITION:
            await self._reload_servers()
            return
        start = self.view.position
        try:
            records, end = await self._read_records(
                self._servers_status,
                start,
                self._next_wait_s(self._servers_status),
            )
        except PositionLost as exc:
            log_event(_logger, 'position_lost', error=exc)
            await self._reload_servers()
            await asyncio.sleep(self.watch.settle_s)
            return
        self._apply_records(records, end.era)
        if end != start:
            # Batch the changes of servers that change at about the same time.
            await asyncio.sleep(self.watch.settle_s)

    def _apply_records(self, records: list[KeyedRecord], era: int) -> None:
        for record in records:
            self.view.apply_server(
                record.key,
                record.payload,
                Position(era, record.offset + 1),
                STORE,
            )

    async def _reload_servers(self) -> None:
        listing = await self._list(self._servers_status)
        in_use = self.view.position
        if listing.end.era < in_use.era:
            # Asking again at once would not help.
            raise WagtailforkError(
                ResultCode.log_unavailable,
                f'{_SERVERS_TOPIC} ends at {listing.end}, in use is {in_use}',
            )
        self.view.replace_servers(listing.records, listing.end, STORE)


def _render_vm(me: Member) -> bytes:
    fields = {
        'callers': me.caller_address,
        'domain': me.failure_domain,
        'region': me.region,
    }
    return json.dumps(fields).encode()


def _parse_vm(address: str, raw: bytes) -> Member:
    fields = json.loads(raw)
    return Member(
        address=as_address(address),
        caller_address=as_address(fields['callers']),
        failure_domain=as_text(fields['domain']),
        region=as_text(fields['region']),
        incarnation=0,
    )
