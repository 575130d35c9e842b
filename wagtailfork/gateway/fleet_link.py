"""Heartbeats, shared loads and snapshots between this VM and the others."""

import asyncio
import logging
import random
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_fault
from ..fleet.datagrams import Datagrams
from ..fleet.load_sharing import LoadSharing, read_report
from ..fleet.members import HEARTBEAT_S, Member, Membership
from ..fleet.messages import Heartbeat, LoadRow, Loads, Strike
from ..fleet.snapshots import fetch_snapshot
from ..http1.pool import ConnectionPool
from ..routing.late_binding import Candidate
from ..routing.quarantine import Quarantine
from .roster import Roster
from .view import Snapshot, View


_HEX: Final = 16
_logger = logging.getLogger(__name__)


@attrs.define(eq=False, kw_only=True)
class FleetLink:
    """Send and receive heartbeats and loads; fetch what others know."""

    membership: Membership
    view: View
    roster: Roster
    pool: ConnectionPool
    quarantine: Quarantine
    is_ready: Callable[[], bool]
    is_reading: Callable[[], bool]
    _datagrams: Datagrams = attrs.field(init=False)
    _sharing: LoadSharing = attrs.field(init=False)
    _fetching: bool = False
    _tasks: set['asyncio.Task[Any]'] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Wire the parts to each other."""
        self._datagrams = Datagrams(self._receive)
        me = self.membership.me.address
        self._sharing = LoadSharing(me, self._tell_neighbours)

    async def open(self) -> None:
        """Bind the fleet's socket."""
        await self._datagrams.bind(self.membership.me.address)

    def close(self) -> None:
        """Close the fleet's socket."""
        self._datagrams.close()

    @property
    def sent_bytes(self) -> int:
        """Count the bytes sent to other VMs."""
        return self._datagrams.sent_bytes

    async def run_heartbeats(self) -> None:
        """Tell and fetch for good."""
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def beat(self) -> None:
        """Say something new to some, and to all neighbours if it is urgent."""
        now = now_s()
        members = self.membership
        members.beat(
            ready=self.is_ready(),
            reading=self.is_reading(),
            config_version=self.view.version,
            servers_position=max(0, self.view.position),
        )
        told = [one.address for one in members.told_to(now)]
        self._datagrams.send(Heartbeat(members.rows(now)), told)
        # What is under way is told again, as datagrams are lost.
        for _, candidate in self.roster.candidates():
            if candidate.load.own:
                self.load_changed(candidate)

    def announce(self) -> None:
        """Tell all neighbours of a change at once."""
        self.beat()
        now = now_s()
        told = [one.address for one in self.membership.neighbours(now)]
        self._datagrams.send(Heartbeat([self.membership.me]), told)

    def send(self, message: Loads, addresses: list[str]) -> None:
        """Send loads to some VMs."""
        self._datagrams.send(message, addresses)

    def announce_far(self) -> None:
        """Tell two VMs of each other domain of a change.

        Each domain has a reader of its own; this covers one that is cut off.
        """
        now = now_s()
        for addresses in self.membership.other_domains(now).values():
            chosen = random.sample(addresses, min(2, len(addresses)))
            self._datagrams.send(Heartbeat([self.membership.me]), chosen)

    def introduce(self, members: list[Member]) -> None:
        """Greet VMs that are listed but were not heard yet."""
        self.membership.introduce(members)
        me = self.membership.me.address
        told = [one.address for one in members if one.address != me]
        self._datagrams.send(Heartbeat([self.membership.me]), told)

    def load_changed(
        self, candidate: Candidate, *, silent: bool = False
    ) -> None:
        """Tell neighbours of a server's load."""
        self._sharing.changed(candidate.name, candidate.load, silent=silent)

    def tell_strike(self, fingerprint: str, server: str) -> None:
        """Tell all VMs that a request crashed a server."""
        message = Strike(int(fingerprint, _HEX), server)
        told = [one.address for one in self.membership.alive(now_s())]
        self._datagrams.send(message, told)

    # What others say.

    @singledispatchmethod
    def _receive(self, message: Any) -> None:
        log_fault(_logger, 'message_unknown', kind=type(message).__name__)

    @_receive.register
    def _(self, message: Heartbeat) -> None:
        now = now_s()
        joined = self.membership.merge(message.members, now)
        for member in joined:
            log_event(_logger, 'vm_heard', vm=member.address)
        if message.members:
            self._fetch_news(message.members[0])

    @_receive.register
    def _(self, message: Loads) -> None:
        now = now_s()
        touched = set()
        neighbour = self.membership.is_neighbour(message.sender, now)
        for row in message.rows:
            candidate = self.roster.candidate(row.server)
            if candidate is None:
                continue
            if neighbour:
                load = candidate.load
                load.note_neighbour(message.sender, row.in_flight, now)
            touched.add(self._take_report(row, candidate, now))
        for service in touched:
            self.roster.queue(service).pump_soon()
        if message.relay:
            self._tell_neighbours(Loads(message.sender, False, message.rows))

    @_receive.register
    def _(self, message: Strike) -> None:
        fingerprint = f'{message.fingerprint:08x}'
        self.quarantine.strike(fingerprint, message.server, now_s())

    def _take_report(
        self,
        row: LoadRow,
        candidate: Candidate,
        now: float,
    ) -> str:
        load = candidate.load
        server = self.roster.server(row.server)
        report = read_report(row, now)
        if report is not None:
            load.note_report(report)
        if row.silent:
            load.take_out(now)
            self.pool.drop(candidate.address)
        elif report is not None and load.out_until_s > now:
            load.bring_back()
        return server.service if server else ''

    # Snapshots.

    def _fetch_news(self, sender: Member) -> None:
        """Fetch from a VM that was just heard, if it knows more.

        Others that it speaks of may be out of reach; it fetches from them.
        """
        if self._fetching or not self._knows_more(sender):
            return
        self._fetching = True
        task = asyncio.create_task(self._fetch(sender.address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _knows_more(self, member: Member) -> bool:
        if member.address == self.membership.me.address:
            return False
        return (
            member.config_version > self.view.version
            or member.servers_position > max(0, self.view.position)
        )

    async def _fetch(self, address: str) -> None:
        try:
            configuration, position, servers = await fetch_snapshot(
                address,
                self.view.version,
                self.view.position,
            )
        except WagtailforkError as exc:
            log_fault(_logger, 'snapshot_failed', vm=address, error=exc)
            return
        finally:
            self._fetching = False
        snapshot = Snapshot(configuration, position, servers)
        self.view.merge(snapshot, address)

    # What this VM says.

    def _tell_neighbours(self, message: Loads) -> None:
        now = now_s()
        told = [one.address for one in self.membership.neighbours(now)]
        self._datagrams.send(message, told)
