"""Hedged requests: send a second copy of a slow request."""

import asyncio
import time

import attrs

from ..control.objects import Service
from ..core.errors import WagtailforkError
from ..core.outcomes import NotRun, outcome_of
from ..routing.admission import SlotRequest
from ..routing.endpoint import Endpoint
from ..routing.hedging import Hedging
from ..routing.placement import Placement
from .exchange import EndReason, Exchange
from .request import CallerRequest
from .sender import Sender

AttemptTask = asyncio.Task[Exchange]


class HedgedError(WagtailforkError):
    """Report that both copies failed; the request must not be retried."""


class HedgeNotSentError(WagtailforkError):
    """Report that no slot was available for a second copy."""


@attrs.define
class Hedger:
    """Send requests, hedged if the service allows it."""

    _sender: Sender
    _placement: Placement
    _hedging_by_service: dict[str, Hedging] = attrs.field(factory=dict)

    @property
    def hedges(self) -> int:
        """Return the number of second copies sent."""
        return sum(
            hedging.hedges for hedging in self._hedging_by_service.values()
        )

    async def attempt(
        self,
        req: CallerRequest,
        service: Service,
        slot_request: SlotRequest,
        endpoint: Endpoint,
    ) -> Exchange:
        """Send to ``endpoint``, whose slot is acquired, and hedge if slow.

        Return the first response. Raise ``HedgedError`` if two copies
        failed, or the error of the only copy.
        """
        if not service.hedge_percent or not req.body.is_complete:
            return await self._sender.attempt(req, service, endpoint)
        hedging = self._hedging_for(req.service, service)
        hedging.earn()
        sent_at = time.monotonic()
        tasks = [self._start_attempt(req, service, endpoint)]
        try:
            await asyncio.wait(tasks, timeout=hedging.delay_s)
            if not tasks[0].done() and self._may_hedge(req, hedging):
                hedge_attempt = self._send_hedge(req, service, slot_request)
                tasks.append(asyncio.create_task(hedge_attempt))
            exchange = await self._await_first_response(tasks)
        except BaseException:
            # The caller may disconnect at any await above.
            await self._cancel_attempts(tasks)
            raise
        hedging.record(time.monotonic() - sent_at)
        return exchange

    async def _await_first_response(self, tasks: list[AttemptTask]) -> Exchange:
        exchange = await _wait_for_response(tasks)
        redundant = [task for task in tasks if not _has_result(task, exchange)]
        await self._cancel_attempts(redundant)
        return exchange

    def _start_attempt(
        self,
        req: CallerRequest,
        service: Service,
        endpoint: Endpoint,
    ) -> AttemptTask:
        return asyncio.create_task(self._sender.attempt(req, service, endpoint))

    def _may_hedge(self, req: CallerRequest, hedging: Hedging) -> bool:
        placement = self._placement
        if not placement.may_hedge(req.service, req.fingerprint):
            return False
        return hedging.spend()

    async def _send_hedge(
        self,
        req: CallerRequest,
        service: Service,
        slot_request: SlotRequest,
    ) -> Exchange:
        try:
            endpoint = await self._placement.acquire_hedge(
                slot_request, req.fingerprint
            )
        except WagtailforkError as exc:
            raise HedgeNotSentError(exc.code, exc.detail) from exc
        return await self._sender.attempt(req, service, endpoint)

    async def _cancel_attempts(self, tasks: list[AttemptTask]) -> None:
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exchange):
                await self._sender.finish(result, EndReason.cancelled)

    def _hedging_for(self, name: str, service: Service) -> Hedging:
        hedging = self._hedging_by_service.get(name)
        if hedging is None or hedging.percent != service.hedge_percent:
            hedging = Hedging(service.hedge_percent)
            self._hedging_by_service[name] = hedging
        return hedging


async def _wait_for_response(tasks: list[AttemptTask]) -> Exchange:
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            if task.exception() is None:
                return task.result()
    raise _select_error(tasks)


def _select_error(tasks: list[AttemptTask]) -> BaseException:
    errors = [exc for task in tasks if (exc := task.exception())]
    attempted = [
        exc for exc in errors if not isinstance(exc, HedgeNotSentError)
    ]
    uncertain = [
        exc for exc in attempted if not isinstance(outcome_of(exc), NotRun)
    ]
    # A not-run error is correct only if no copy may have run.
    failure = (*uncertain, *attempted)[0]
    if len(attempted) > 1 and isinstance(failure, WagtailforkError):
        return HedgedError(failure.code, failure.detail)
    return failure


def _has_result(task: AttemptTask, exchange: Exchange) -> bool:
    if not task.done() or task.cancelled() or task.exception() is not None:
        return False
    return task.result() is exchange
