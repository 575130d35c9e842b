"""Forward requests to backend servers, with retries and hedging."""

import asyncio
import functools
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..core.results import ResultCode
from ..http1.request import CallerRequest
from ..routing.allowance import RetryAllowance
from ..routing.quarantine import Quarantine
from ..routing.queued_request import QueuedRequest
from ..routing.routes import Route, WeightedRoundRobin
from .backend_registry import BackendRegistry
from .call import Call, SendResult, identify
from .crash_detector import CrashDetector
from .dialect import Dialect, RequestMetadata
from .key_check import Identity, shared_regions
from .meters import Meters
from .responder import Responder
from .second_copy import HedgePolicy
from .sender import Sender
from .trials import FREE, Trials
from .verdict import Verdict, find_route
from .view import View

DEFAULT_DEADLINE_S: Final = 10.0  # for requests that carry no deadline
MAX_TRIES: Final = 5  # servers tried per request, failed connects included
HEADERS_KB: Final = 0.6  # request and response headers plus packet overhead
RESPONSE_MARGIN_S: Final = 0.03  # lets errors arrive before the deadline
NOT_READY_RETRY_AFTER_S: Final = 0.3
_KB: Final = 1024


@attrs.define(eq=False, kw_only=True)
class Forwarder:
    """Serve caller requests from the backend servers of their service."""

    view: View
    backends: BackendRegistry
    dialect: Dialect
    log: EventLog
    allowance: Callable[[str], RetryAllowance]
    vm_count: Callable[[], int]
    meters: Meters
    sender: Sender
    hedging: HedgePolicy
    responder: Responder
    trials: Trials
    crashes: CrashDetector
    round_robin: WeightedRoundRobin = attrs.field(factory=WeightedRoundRobin)
    _left_trials: set['asyncio.Task[SendResult]'] = attrs.field(factory=set)

    @property
    def quarantine(self) -> Quarantine:
        """Return the requests that may have crashed servers."""
        return self.trials.quarantine

    async def handle(self, req: CallerRequest) -> None:
        """Respond to one request."""
        metadata = self.dialect.read_request(req)
        cfg = self.view.configuration
        if cfg is None or not self.view.complete:
            self.responder.refuse(
                req, metadata, ResultCode.not_serving, NOT_READY_RETRY_AFTER_S
            )
            return
        route = find_route(cfg, req)
        if route and not route.repeatable:
            # The route may have changed since the request was started.
            await req.wait_turn()
        verdict = await self._judge_surely(req, metadata)
        route = verdict.route
        if route is None or verdict.refusal is not None:
            self._refuse(req, metadata, verdict)
            return
        regions = shared_regions(route, verdict.identity.customer)
        if regions is None:
            self.responder.refuse(
                req, metadata, ResultCode.no_common_region, None
            )
            return
        call = self._admit(req, metadata, route, verdict.identity)
        call.queued.regions = regions
        await self._serve_admitted(call)

    async def _judge_surely(
        self, req: CallerRequest, metadata: RequestMetadata
    ) -> Verdict:
        """Judge a request; deny it only by a configuration that is fresh."""
        verdict = self._judge(req, metadata)
        if not verdict.denies:
            return verdict
        fresh = await self.responder.evidence.confirm(req.arrived_s)
        # The configuration may have changed meanwhile.
        verdict = self._judge(req, metadata)
        if verdict.denies and not fresh:
            return attrs.evolve(verdict, stale=True)
        return verdict

    def _judge(self, req: CallerRequest, metadata: RequestMetadata) -> Verdict:
        cfg = self.view.configuration
        route = find_route(cfg, req) if cfg else None
        if route is None:
            return Verdict(refusal=ResultCode.unknown_service)
        identity = self.sender.gate.identify(metadata, route, req.arrived_s)
        return Verdict(route=route, identity=identity, refusal=identity.refusal)

    def _refuse(
        self, req: CallerRequest, metadata: RequestMetadata, verdict: Verdict
    ) -> None:
        code = verdict.refusal or ResultCode.unknown_service
        if verdict.stale:
            self.responder.refuse_stale(req, metadata, code.name)
        elif code is ResultCode.unknown_service:
            self.responder.refuse(req, metadata, code, None)
        else:
            self.responder.refuse_key(req, metadata, code)

    async def _serve_admitted(self, call: Call) -> None:
        loop = asyncio.get_running_loop()
        stop_at = loop.time() + max(0, call.left_s() - RESPONSE_MARGIN_S)
        try:
            async with asyncio.timeout_at(stop_at):
                await self._serve_call(call)
        except TimeoutError:
            self.responder.finish_expired(call)
        except asyncio.CancelledError:
            self.responder.record_caller_left(call)
            raise

    def _admit(
        self,
        req: CallerRequest,
        metadata: RequestMetadata,
        route: Route,
        identity: Identity,
    ) -> Call:
        limit_s = metadata.deadline_s or DEFAULT_DEADLINE_S
        if route.timeout_s is not None:
            limit_s = min(limit_s, route.timeout_s)
        service = self.round_robin.next_service(
            route.name, route.weighted_services
        )
        deadline_at_s = req.arrived_s + limit_s
        customer = identity.customer
        rank = route.rank
        if customer is not None and customer.rank is not None:
            rank = customer.rank
        queued = QueuedRequest(
            rank=rank,
            customer=customer.name if customer else '',
            objective_at_s=req.arrived_s + route.objective_s,
            deadline_at_s=deadline_at_s,
            service_s=self.sender.service_times.expected_s(
                route.name, route.objective_s
            ),
            arrived_s=req.arrived_s,
        )
        self.allowance(service).earn(now_s())
        queue = self.backends.queue(service)
        self.log.emit(
            'admitted',
            id=metadata.request_id,
            route=route.name,
            service=service,
            config=self.view.version,
            customer=queued.customer or 'none',
            rank=rank,
            patience_ms=limit_s * 1000,
            objective_ms=route.objective_s * 1000,
        )
        return Call(
            req,
            metadata,
            route,
            service,
            queue,
            queued,
            deadline_at_s,
            identity,
        )

    async def _serve_call(self, call: Call) -> None:
        await call.req.body.wait_buffered()
        if call.req.body.truncated:
            call.req.abort()
            return
        response_kb = self.sender.service_times.expected_kb(call.route.name)
        call.queued.kilobytes = (
            HEADERS_KB + response_kb + call.req.body.size / _KB
        )
        call.fingerprint = identify(call.req, call.queued.customer)
        admission = await self.trials.admit(call.fingerprint)
        if admission != FREE:
            self.log.emit(
                'quarantined',
                id=call.metadata.request_id,
                fingerprint=call.fingerprint,
                trial=admission.trial,
                wait_s=admission.wait_s or 0,
            )
        if admission.wait_s is not None:
            self.responder.refuse_call(
                call,
                ResultCode.overloaded,
                admission.wait_s,
                ResultCode.quarantined.name,
            )
            return
        call.trial = admission.trial
        if call.trial:
            result = await self._send_trial(call)
        else:
            result = await self._send_with_retries(call)
        response = result.response
        if response is None or response.body.complete:
            self.crashes.record_end(call, result)
            await self.responder.finish(call, result)
            return
        try:
            await self.responder.finish(call, result)
        finally:
            self.crashes.record_end(call, result)

    async def _send_trial(self, call: Call) -> SendResult:
        """Send a trial; it goes on if its caller leaves while a server runs it.

        What it shows counts for all callers that wait for it.
        """
        task = asyncio.create_task(self._run_trial(call))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if call.sends:
                self._left_trials.add(task)
                task.add_done_callback(
                    functools.partial(self._end_left_trial, call)
                )
            else:
                task.cancel()
            raise

    async def _run_trial(self, call: Call) -> SendResult:
        try:
            await self.crashes.open_witnesses(call)
            async with asyncio.timeout(max(0, call.left_s())):
                return await self._send_with_retries(call)
        except TimeoutError:
            # A server that has the request is watched.
            call.may_have_run = call.may_have_run or bool(call.sends)
            return SendResult(reason='deadline_passed')
        except asyncio.CancelledError:
            self.crashes.give_back(call.fingerprint, ran=False)
            raise

    def _end_left_trial(
        self, call: Call, task: 'asyncio.Task[SendResult]'
    ) -> None:
        self._left_trials.discard(task)
        if task.cancelled():
            return
        result = task.result()
        self.crashes.record_end(call, result)
        result.discard()

    async def _send_with_retries(self, call: Call) -> SendResult:
        fallback: SendResult | None = None
        while True:
            result = await self._send_hedged(call)
            if result.response is not None:
                if fallback is not None:
                    fallback.discard()
                fallback = result
            if result.usable or not self._may_retry(call, result):
                return fallback or result
            self.meters.retries[call.service] += 1
            self.log.emit(
                'sent_again',
                important=True,
                id=call.metadata.request_id,
                route=call.route.name,
                after=result.reason,
                server=result.server,
                sends=call.sends,
                left_ms=call.left_s() * 1000,
            )

    def _may_retry(self, call: Call, result: SendResult) -> bool:
        if result.refusal is not None or not self._may_resend(call, result):
            return False
        call.queued.excluded.add(result.server)
        if not result.delivered:
            return True
        if call.sends >= call.route.max_attempts:
            return False
        return self.allowance(call.service).spend(now_s(), self.vm_count())

    def _may_resend(self, call: Call, result: SendResult) -> bool:
        if result.may_have_run and not call.route.repeatable:
            return False
        if call.tries >= MAX_TRIES or not call.req.body.replayable:
            return False
        if call.left_s() <= RESPONSE_MARGIN_S:
            return False
        if call.trial:
            return not result.delivered
        return not self.quarantine.is_refused(call.fingerprint, now_s())

    async def _send_hedged(self, call: Call) -> SendResult:
        """Send a request, and a hedged copy if it is slow; cancel the loser."""
        tasks = {asyncio.create_task(self.sender.send(call))}
        try:
            return await self._wait_for_result(call, tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _wait_for_result(
        self,
        call: Call,
        tasks: 'set[asyncio.Task[SendResult]]',
    ) -> SendResult:
        """Wait for a usable result, or the last one; update ``tasks``."""
        if call.route.repeatable:
            await _wait_sent(call, tasks)
        while True:
            done = await _first_done(tasks, self._hedge_check_in_s(call))
            tasks.difference_update(done)
            best = _best_result(done)
            if best is None:
                await self._maybe_hedge(call, tasks)
            elif best.usable or not tasks:
                return best

    def _hedge_check_in_s(self, call: Call) -> float | None:
        if call.hedged or not call.route.repeatable:
            return None
        if self.quarantine.is_suspect(call.fingerprint):
            # Each copy may crash a server.
            return None
        return self.hedging.next_check_in_s(call)

    async def _maybe_hedge(
        self,
        call: Call,
        tasks: 'set[asyncio.Task[SendResult]]',
    ) -> None:
        if await self.hedging.should_hedge(call):
            call.hedged = True
            tasks.add(asyncio.create_task(self.sender.send(call)))


async def _first_done(
    tasks: 'set[asyncio.Task[SendResult]]',
    limit_s: float | None,
) -> 'set[asyncio.Task[SendResult]]':
    done, _ = await asyncio.wait(
        tasks,
        timeout=limit_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    return done


async def _wait_sent(
    call: Call, tasks: 'set[asyncio.Task[SendResult]]'
) -> None:
    """Wait until the request has been sent, or its task has ended."""
    sent = asyncio.ensure_future(call.sent_event.wait())
    try:
        await asyncio.wait(
            {sent, *tasks},
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        sent.cancel()


def _best_result(done: 'set[asyncio.Task[SendResult]]') -> SendResult | None:
    best: SendResult | None = None
    for task in done:
        outcome = task.result()
        if best is None or _is_better(outcome, best):
            best, outcome = outcome, best or outcome
        if outcome is not best:
            outcome.discard()
    return best


def _is_better(result: SendResult, other: SendResult) -> bool:
    return (result.usable, result.response is not None) > (
        other.usable,
        other.response is not None,
    )
