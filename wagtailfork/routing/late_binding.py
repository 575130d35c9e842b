"""Requests of one service wait here and are bound to a server last.

A request is sent only when a server has a free slot for it, to the server
where its answer is worth most to the caller. One that no server can answer
before its deadline is refused at once.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from ..core.clock import now_s
from .load import Noise, ServerLoad
from .worth import Distance, Forecast, Need, predict

HOPELESS: Final = 0.02  # expected worth below which waiting serves nobody
MOST_WAITING: Final = 400  # tickets; bounds the time that one pass takes
NEVER_S: Final = 3600.0
# A twelfth of the time for which noise on shared VMs stays as it is, and so
# at most 40 probes a second to a server.
FRESH_S: Final = 0.025
LOOK_TRIP_S: Final = 0.01  # round trip beyond which asking first costs too much
MOST_LOOKS: Final = 4  # servers asked for one request
TRY_NEW_BONUS: Final = 0.4  # so that a server that joined gets requests soon


@attrs.define(eq=False)
class Candidate:
    """Hold one backend server that requests may be sent to."""

    name: str
    address: str
    load: ServerLoad
    distance: Distance = attrs.field(factory=Distance)
    warm_at_s: float = 0
    draining: bool = False
    tells_load: bool = True  # until a probe shows that it does not

    def must_look(self, now: float) -> bool:
        """Tell whether its report is too old to send a request on."""
        if not self.tells_load or self.distance.round_trip_s > LOOK_TRIP_S:
            return False
        report = self.load.report
        return report is None or now - report.at_s > FRESH_S


@attrs.define(eq=False)
class Ticket:
    """Hold one request that waits for a server; times on the clock."""

    rank: int
    objective_at_s: float
    deadline_at_s: float
    work_s: float
    kilobytes: float = 1.0
    excluded: set[str] = attrs.field(factory=set)
    bound: 'asyncio.Future[Candidate] | None' = None
    arrived_s: float = attrs.field(factory=now_s)

    def need(self, now: float) -> Need:
        """Say what is needed from now on."""
        return Need(
            objective_s=max(0.001, self.objective_at_s - now),
            deadline_s=self.deadline_at_s - now,
            work_s=self.work_s,
            kilobytes=self.kilobytes,
        )


@attrs.frozen
class Choice:
    """Name the best server for a ticket at this moment."""

    candidate: Candidate
    forecast: Forecast
    free: bool


class Refused(Exception):
    """Report that no server can serve in time, and when one could."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        """Keep the reason and the seconds until there is room."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


Look = Callable[[Candidate], Awaitable[None]]


async def _trust(candidate: 'Candidate') -> None:
    """Take a server's last report as it is."""
    candidate.tells_load = False


@attrs.define(eq=False)
class ServiceQueue:
    """Bind waiting requests of one service to its servers."""

    service: str
    look: Look = _trust
    noise: Noise = attrs.field(factory=Noise)
    servers: dict[str, Candidate] = attrs.field(factory=dict)
    wanted_at_s: float = -NEVER_S
    _waiting: list[Ticket] = attrs.field(factory=list)

    @property
    def waiting(self) -> int:
        """Count the requests that wait."""
        return len(self._waiting)

    async def place(self, ticket: Ticket) -> Candidate:
        """Wait for a server and count the request there, or raise ``Refused``.

        A server whose report has aged is asked first; what it tells may make
        another one the better choice.
        """
        for _ in range(MOST_LOOKS):
            candidate = await self._place_once(ticket)
            if not candidate.must_look(now_s()):
                return candidate
            try:
                await self.look(candidate)
            finally:
                candidate.load.end()
        return await self._place_once(ticket)

    async def _place_once(self, ticket: Ticket) -> Candidate:
        now = now_s()
        self.wanted_at_s = now
        if not self._waiting:
            choice = self.choose(ticket, {}, now)
            _check_worth(choice, ticket, now)
            if choice is not None and choice.free:
                choice.candidate.load.begin()
                return choice.candidate
        if len(self._waiting) >= MOST_WAITING:
            raise Refused('queue_full', self.room_in_s(now))
        return await self._wait(ticket)

    async def _wait(self, ticket: Ticket) -> Candidate:
        bound = asyncio.get_running_loop().create_future()
        ticket.bound = bound
        self._waiting.append(ticket)
        self._waiting.sort(key=_turn)
        self.pump()
        try:
            candidate: Candidate = await bound
        except asyncio.CancelledError:
            self._abandon(ticket, bound)
            raise
        return candidate

    def pump(self) -> None:
        """Bind or refuse waiting requests after something changed."""
        if not self._waiting:
            return
        now = now_s()
        ahead: dict[str, int] = {}
        still = []
        for ticket in self._waiting:
            bound = ticket.bound
            if bound is None or bound.done():
                continue
            try:
                choice = self.choose(ticket, ahead, now)
                _check_worth(choice, ticket, now)
            except Refused as exc:
                bound.set_exception(exc)
                continue
            if choice is None:
                still.append(ticket)
                continue
            if choice.free:
                choice.candidate.load.begin()
                bound.set_result(choice.candidate)
                continue
            name = choice.candidate.name
            ahead[name] = ahead.get(name, 0) + 1
            still.append(ticket)
        self._waiting = still

    def release(self, candidate: Candidate) -> None:
        """Take one request off a server and bind the next one."""
        candidate.load.end()
        self.pump()

    def choose(
        self,
        ticket: Ticket,
        ahead: dict[str, int],
        now: float,
    ) -> Choice | None:
        """Find the server where the request is worth most; None without any."""
        usable = self._usable(ticket, now)
        need = ticket.need(now)
        best: Choice | None = None
        best_worth = -NEVER_S
        offset = random.randrange(len(usable)) if usable else 0  # noqa: S311
        for candidate in usable[offset:] + usable[:offset]:
            choice = self._forecast(candidate, need, ahead, now)
            gained = choice.forecast.worth + _bonus(candidate, ticket, now)
            if gained > best_worth:
                best, best_worth = choice, gained
        return best

    def room_in_s(self, now: float) -> float:
        """Estimate the seconds until a slot is free."""
        waits = []
        for candidate in self.servers.values():
            if candidate.draining or now < candidate.load.out_until_s:
                continue
            excess = candidate.load.busy(now) - candidate.load.slots + 1
            waits.append(max(0.02, 0.1 * excess / candidate.load.slots))
        return min(waits, default=0.5) + 0.1 * len(self._waiting) / (
            1 + len(waits)
        )

    def _forecast(
        self,
        candidate: Candidate,
        need: Need,
        ahead: dict[str, int],
        now: float,
    ) -> Choice:
        others = ahead.get(candidate.name, 0)
        load = candidate.load
        forecast = predict(
            load,
            need,
            candidate.distance,
            now,
            noise=self.noise,
            ahead=others,
            cold=now < candidate.warm_at_s,
        )
        return Choice(candidate, forecast, load.busy(now) + others < load.slots)

    def _usable(self, ticket: Ticket, now: float) -> list[Candidate]:
        usable = []
        spare = []
        for candidate in self.servers.values():
            if candidate.draining or candidate.name in ticket.excluded:
                continue
            spare.append(candidate)
            if now >= candidate.load.out_until_s:
                usable.append(candidate)
        # With every server out, one that may be back is better than none.
        return usable or spare

    def _abandon(
        self, ticket: Ticket, bound: 'asyncio.Future[Candidate]'
    ) -> None:
        if ticket in self._waiting:
            self._waiting.remove(ticket)
        if bound.done() and not bound.cancelled() and bound.exception() is None:
            self.release(bound.result())


def _turn(ticket: Ticket) -> tuple[int, float]:
    return ticket.rank, ticket.arrived_s


def _bonus(candidate: Candidate, ticket: Ticket, now: float) -> float:
    untried = not (candidate.load.started or candidate.load.neighbours)
    if candidate.distance.price_per_kb:
        # The VMs of its own domain will try it.
        return 0
    if untried and ticket.rank and not candidate.load.failing(now):
        return TRY_NEW_BONUS
    return 0


def _check_worth(choice: Choice | None, ticket: Ticket, now: float) -> None:
    if now >= ticket.deadline_at_s:
        raise Refused('deadline_passed', 0)
    if choice is None:
        raise Refused('no_server', 0.5)
    if choice.forecast.wait_s == 0:
        return
    if choice.forecast.answer_s > ticket.deadline_at_s - now:
        raise Refused('no_room', max(0.05, choice.forecast.wait_s / 2))
