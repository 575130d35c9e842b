"""Send a second copy of a slow request and take the first answer."""

import asyncio
import time

import attrs

from ..control.objects import Service
from ..core.errors import WagtailforkError
from ..core.outcomes import NotRun, outcome_of
from ..routing.admission import Demand
from ..routing.endpoint import Endpoint
from ..routing.hedging import Hedging
from ..routing.placement import Placement
from .exchange import Ending, Exchange
from .request import CallerRequest
from .sender import Sender

Attempt = asyncio.Task[Exchange]


class HedgedError(WagtailforkError):
    """Report that two copies of a request failed; no retry may follow."""


class SecondNotSent(WagtailforkError):
    """Report that there was no slot for a second copy."""


@attrs.define
class Hedger:
    """Carry out one attempt, hedged where its service allows it."""

    _sender: Sender
    _placement: Placement
    _services: dict[str, Hedging] = attrs.field(factory=dict)

    @property
    def hedges(self) -> int:
        """Count the second copies sent."""
        return sum(each.hedges for each in self._services.values())

    async def attempt(
        self,
        req: CallerRequest,
        service: Service,
        demand: Demand,
        endpoint: Endpoint,
    ) -> Exchange:
        """Send to a server whose slot was acquired, perhaps to a second.

        Raise the first copy's error when no copy is answered, as a
        ``HedgedError`` when there were two.
        """
        if not service.hedge_percent or not req.body.is_whole:
            return await self._sender.attempt(req, service, endpoint)
        hedging = self._hedging(req.service, service)
        hedging.earn()
        sent_at = time.monotonic()
        copies = [self._begin(req, service, endpoint)]
        try:
            await asyncio.wait(copies, timeout=hedging.delay_s)
            if not copies[0].done() and self._may_hedge(req, hedging):
                second = self._send_second(req, service, demand)
                copies.append(asyncio.create_task(second))
            exchange = await self._take_first(copies)
        except BaseException:
            # The caller may leave at any of these steps.
            await self._drop(copies)
            raise
        hedging.note(time.monotonic() - sent_at)
        return exchange

    async def _take_first(self, copies: list[Attempt]) -> Exchange:
        exchange = await _first_answer(copies)
        losers = [copy for copy in copies if not _gave(copy, exchange)]
        await self._drop(losers)
        return exchange

    def _begin(
        self,
        req: CallerRequest,
        service: Service,
        endpoint: Endpoint,
    ) -> Attempt:
        return asyncio.create_task(self._sender.attempt(req, service, endpoint))

    def _may_hedge(self, req: CallerRequest, hedging: Hedging) -> bool:
        placement = self._placement
        if not placement.may_hedge(req.service, req.fingerprint):
            return False
        return hedging.spend()

    async def _send_second(
        self,
        req: CallerRequest,
        service: Service,
        demand: Demand,
    ) -> Exchange:
        try:
            other = await self._placement.second(demand, req.fingerprint)
        except WagtailforkError as exc:
            raise SecondNotSent(exc.code, exc.detail) from exc
        return await self._sender.attempt(req, service, other)

    async def _drop(self, copies: list[Attempt]) -> None:
        for copy in copies:
            copy.cancel()
        for result in await asyncio.gather(*copies, return_exceptions=True):
            if isinstance(result, Exchange):
                await self._sender.finish(result, Ending.cancelled)

    def _hedging(self, name: str, service: Service) -> Hedging:
        held = self._services.get(name)
        if held is None or held.percent != service.hedge_percent:
            held = Hedging(service.hedge_percent)
            self._services[name] = held
        return held


async def _first_answer(copies: list[Attempt]) -> Exchange:
    pending = set(copies)
    while pending:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for copy in done:
            if copy.exception() is None:
                return copy.result()
    raise _failure_of(copies)


def _failure_of(copies: list[Attempt]) -> BaseException:
    errors = [exc for copy in copies if (exc := copy.exception())]
    sent = [exc for exc in errors if not isinstance(exc, SecondNotSent)]
    unsure = [exc for exc in sent if not isinstance(outcome_of(exc), NotRun)]
    # 'Not run' is true only if no copy may have run.
    failure = (*unsure, *sent)[0]
    if len(sent) > 1 and isinstance(failure, WagtailforkError):
        return HedgedError(failure.code, failure.detail)
    return failure


def _gave(copy: Attempt, exchange: Exchange) -> bool:
    if not copy.done() or copy.cancelled() or copy.exception() is not None:
        return False
    return copy.result() is exchange
