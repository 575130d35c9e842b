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
from ..fleet.load_sharing import ROWS, LoadSharing, read_report, render_row
from ..fleet.members import HEARTBEAT_S, Member, Membership, rendezvous
from ..fleet.messages import Heartbeat, LoadRow, Loads, Strike
from ..fleet.snapshots import fetch_snapshot
from ..http1.pool import ConnectionPool
from ..routing.late_binding import Candidate
from ..routing.quarantine import Quarantine
from .roster import Geography, Roster
from .view import Snapshot, View

NEAR_DIGEST_S: Final = 0.25  # reports to the region's other domains
TAKE_OVER_S: Final = 0.6  # time for the first VM to be heard reading
GREETINGS_S: Final = 0.7  # in which a VM that starts hears of the others
FAR_DIGEST_S: Final = 1.0  # reports to other regions, whose trips take 60 ms
_READER_KEY: Final = 'store-reader'
_SPEAKER_KEY: Final = 'speaker'

_logger = logging.getLogger(__name__)


def _after_greetings() -> float:
    return now_s() + GREETINGS_S


@attrs.define(eq=False, kw_only=True)
class FleetLink:
    """Take part in the fleet."""

    membership: Membership
    view: View
    roster: Roster
    geography: Geography
    pool: ConnectionPool
    quarantine: Quarantine
    is_ready: Callable[[], bool]
    is_reading: Callable[[], bool]
    reads_from_s: float = attrs.field(factory=_after_greetings)
    _datagrams: Datagrams = attrs.field(init=False)
    _sharing: LoadSharing = attrs.field(init=False)
    _fetching: bool = False
    _unread_since: float | None = None
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

    async def run_digests(self) -> None:
        """Tell other domains of this one's servers for good."""
        rounds = round(FAR_DIGEST_S / NEAR_DIGEST_S)
        turn = 0
        while True:
            await asyncio.sleep(NEAR_DIGEST_S)
            turn += 1
            self._send_digest(far=turn % rounds == 0)

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

    def announce_far(self) -> None:
        """Tell two VMs of each other domain of a change.

        Each domain has a reader of its own; this covers one that is cut off.
        """
        now = now_s()
        own = self.membership.me.failure_domain
        by_domain: dict[str, list[str]] = {}
        for member in self.membership.alive(now):
            if member.failure_domain != own:
                by_domain.setdefault(member.failure_domain, []).append(
                    member.address,
                )
        for addresses in by_domain.values():
            chosen = random.sample(addresses, min(2, len(addresses)))
            self._datagrams.send(Heartbeat([self.membership.me]), chosen)

    def introduce(self, members: list[Member]) -> None:
        """Greet VMs that are listed but were not heard yet."""
        self.membership.introduce(members)
        me = self.membership.me.address
        told = [one.address for one in members if one.address != me]
        self._datagrams.send(Heartbeat([self.membership.me]), told)

    def should_read(self) -> bool:
        """Tell whether this VM follows the store for its domain.

        The VM with the highest hash does; the others do so as well as long
        as no neighbour is heard to follow it with success.
        """
        now = now_s()
        if now < self.reads_from_s:
            return False
        neighbours = self.membership.neighbours(now)
        others = [one for one in neighbours if one.reading]
        if not others:
            return self._is_first(neighbours) or self._overdue(now)
        self._unread_since = None
        ranked = [one.address for one in others]
        ranked.append(self.membership.me.address)
        mine = rendezvous(_READER_KEY, ranked) == self.membership.me.address
        return mine and self.is_reading()

    def load_changed(
        self, candidate: Candidate, *, silent: bool = False
    ) -> None:
        """Tell neighbours of a server's load."""
        self._sharing.changed(candidate.name, candidate.load, silent=silent)

    def tell_strike(self, fingerprint: str, server: str) -> None:
        """Tell all VMs that a request crashed a server."""
        message = Strike(int(fingerprint, 16), server)
        told = [one.address for one in self.membership.alive(now_s())]
        self._datagrams.send(message, told)

    # Reading the store for the domain.

    def _is_first(self, neighbours: list[Member]) -> bool:
        ranked = [one.address for one in neighbours]
        ranked.append(self.membership.me.address)
        return rendezvous(_READER_KEY, ranked) == self.membership.me.address

    def _overdue(self, now: float) -> bool:
        if self._unread_since is None:
            self._unread_since = now
        return now - self._unread_since > TAKE_OVER_S

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
        self._fetch_news(message.members)

    @_receive.register
    def _(self, message: Loads) -> None:
        now = now_s()
        touched = set()
        neighbour = self._is_neighbour(message.sender, now)
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

    def _is_neighbour(self, address: str, now: float) -> bool:
        neighbours = self.membership.neighbours(now)
        return any(one.address == address for one in neighbours)

    # Snapshots.

    def _fetch_news(self, members: list[Member]) -> None:
        if self._fetching:
            return
        for member in members:
            if self._knows_more(member):
                self._fetching = True
                task = asyncio.create_task(self._fetch(member.address))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                return

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

    def _send_digest(self, *, far: bool) -> None:
        now = now_s()
        own = self.membership.me.failure_domain
        here = [one.address for one in self.membership.in_domain(own, now)]
        if rendezvous(_SPEAKER_KEY, here) != self.membership.me.address:
            return
        rows = self._digest_rows(own, now)
        told = self._speakers(now, far=far)
        for start in range(0, len(rows), ROWS):
            part = rows[start : start + ROWS]
            message = Loads(self.membership.me.address, True, part)
            self._datagrams.send(message, told)

    def _digest_rows(self, domain: str, now: float) -> list[LoadRow]:
        rows = []
        for server, candidate in self.roster.candidates():
            report = candidate.load.report
            if server.failure_domain != domain or report is None:
                continue
            if now - report.at_s < FAR_DIGEST_S:
                rows.append(render_row(server.name, candidate.load, now))
        return rows

    def _speakers(self, now: float, *, far: bool) -> list[str]:
        by_domain: dict[str, list[str]] = {}
        for member in self.membership.alive(now):
            by_domain.setdefault(member.failure_domain, []).append(
                member.address
            )
        told = []
        for domain, addresses in by_domain.items():
            if domain == self.membership.me.failure_domain:
                continue
            if not far and not self.geography.is_near(domain):
                continue
            speaker = rendezvous(_SPEAKER_KEY, addresses)
            if speaker is not None:
                told.append(speaker)
        return told
