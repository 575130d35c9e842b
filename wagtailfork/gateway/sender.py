"""Send a request to one backend server and classify the result."""

import asyncio
import functools
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..core.results import ResultCode
from ..fleet.placement_messages import Outcome
from ..http1.backend import BackendConnection
from ..http1.pool import ConnectionPool
from ..http1.responses import BackendResponse, RequestNotSent, ResponseError
from ..routing.candidate import Candidate
from ..routing.load import NEARLY_FULL_SHARE
from ..routing.quarantine import Quarantine
from ..routing.queued_request import Refused
from ..routing.work_time import ServiceTimes
from .answer_recorder import AnswerRecorder
from .call import Call, SendResult
from .dialect import Dialect, ResponseMetadata
from .key_check import ANONYMOUS, KeyGate
from .limit_recorder import LimitRecorder
from .placement_client import Placement, PlacementClient
from .planned_stop import PlannedStop
from .responder import STALE_RETRY_AFTER_S
from .statement_recorder import StatementRecorder

CONNECT_TIMEOUT_S: Final = 0.4  # six round trips between regions
STOPPING_RETRY_AFTER_S: Final = 0.05  # other VMs are ready now
QUARANTINED_RETRY_AFTER_S: Final = 1.0  # until the first trial
_QUARANTINED: Final = ResultCode.quarantined.name
_SERVER_ERROR: Final = 500
_SUCCESS: Final = frozenset(range(200, 300))  # noqa: WPS432
_MIN_TIMEOUT_S: Final = 0.001
_UNREACHABLE_REASONS: Final = frozenset(('connect_failed', 'other_server'))

# Records a finished send: call, server, outcome, size of the response body.
RecordSend = Callable[[Call, Candidate, str, int], None]


@attrs.frozen(kw_only=True)
class _Copy:
    """Hold what was known of a copy of a request when it was sent."""

    started_s: float
    slowness: float
    full: bool
    port: int  # local port of its connection
    nth: int  # request on its connection, from 1

    @property
    def first(self) -> bool:
        """Return whether it is the first request on its connection."""
        return self.nth == 1


@attrs.define(eq=False, kw_only=True)
class Sender:
    """Select a server for a request, send it and classify the result."""

    pool: ConnectionPool
    placer: PlacementClient
    dialect: Dialect
    log: EventLog
    suspect_crash: Callable[[Call, str], None]
    abandon_copy: Callable[[Call, str], None]
    record_send: RecordSend
    limits: LimitRecorder
    statements: StatementRecorder
    answers: AnswerRecorder
    planned_stop: PlannedStop
    gate: KeyGate
    quarantine: Quarantine
    service_times: ServiceTimes = attrs.field(factory=ServiceTimes)

    async def send(self, call: Call) -> SendResult:
        """Send a request once and return how the attempt ended."""
        call.tries += 1
        call.queued.on_queued = functools.partial(self._log_queued, call)
        if not self.planned_stop.may_send(call.deadline_at_s, now_s()):
            return _refuse_stopping()
        try:
            placement = await self.placer.place(call.queue, call.queued)
        except Refused as exc:
            return SendResult(reason=exc.reason, refusal=exc)
        return await self._use_placement(call, placement)

    async def _use_placement(
        self, call: Call, placement: Placement
    ) -> SendResult:
        candidate = placement.candidate
        call.coordinator = placement.coordinator
        call.queued.excluded.add(candidate.name)
        outcome = Outcome.unknown
        not_run = False
        try:
            result = await self._send_to_server(call, candidate)
            outcome = _outcome_of(result)
            not_run = not result.may_have_run
        finally:
            self.placer.end(placement, call.queue, outcome, not_run=not_run)
        return result

    async def _send_to_server(
        self, call: Call, candidate: Candidate
    ) -> SendResult:
        if not self.planned_stop.may_send(call.deadline_at_s, now_s()):
            return _refuse_stopping()
        if not call.trial and self.quarantine.is_refused(
            call.fingerprint, now_s()
        ):
            # Copies of it have crashed servers while it was queued.
            refusal = Refused(_QUARANTINED, QUARANTINED_RETRY_AFTER_S)
            return SendResult(reason=refusal.reason, refusal=refusal)
        try:
            conn = await self.pool.acquire(
                candidate.address,
                once=not call.route.repeatable,
                timeout_s=min(
                    CONNECT_TIMEOUT_S, max(_MIN_TIMEOUT_S, call.left_s())
                ),
                request_id=call.metadata.request_id,
            )
        except RequestNotSent as exc:
            candidate.load.eject(now_s())
            self.log.emit('connect_failed', server=candidate.name, why=exc)
            return SendResult(server=candidate.name, reason='connect_failed')
        try:
            result = await self._exchange(call, candidate, conn)
        except asyncio.CancelledError:
            conn.close()
            raise
        if result.response is not None and not result.response.body.complete:
            result.conn = conn
        else:
            until_s = self.pool.release(candidate.address, conn)
            candidate.connected_until_s = until_s
        return result

    async def _exchange(
        self,
        call: Call,
        candidate: Candidate,
        conn: BackendConnection,
    ) -> SendResult:
        result = SendResult(server=candidate.name)
        started_s = now_s()
        left_s = call.deadline_at_s - started_s
        if left_s <= 0 or call.concluded:
            result.reason = 'deadline_passed'
            return result
        if candidate.is_barred(call.queued.regions):
            # Its domain may have been evacuated since the placement.
            result.reason = 'server_barred'
            self.log.emit(
                'server_barred',
                id=call.metadata.request_id,
                server=candidate.name,
                evacuated=candidate.evacuated,
            )
            return result
        req = call.req
        refusal = self._check_key_again(call)
        if refusal is not None:
            return _refuse_key(refusal)
        head = self.dialect.render_request(
            req, left_s, candidate.name, call.identity.header
        )
        copy = _Copy(
            started_s=started_s,
            slowness=candidate.load.slowness(started_s),
            full=_is_full(candidate, started_s),
            port=conn.local_port,
            nth=conn.carried.count + 1,
        )
        self._record_sent(call, candidate, copy)
        try:
            response = await conn.exchange(
                head,
                req.body if req.body.size or not req.body.complete else None,
                self._response_filter(call, candidate.name, copy),
                request_id=call.metadata.request_id,
                head_only=req.method == b'HEAD',
            )
            await response.body.wait_buffered()
        except RequestNotSent as exc:
            call.sends -= 1
            result.reason = str(exc)
            return result
        except asyncio.CancelledError:
            self.record_send(call, candidate, 'cancelled', 0)
            self.abandon_copy(call, candidate.name)
            raise
        except ResponseError as exc:
            conn.close()
            self.pool.record_idle_loss(conn)
            self.answers.record_error(exc, first=copy.first)
            self._record_lost(call, candidate, result, str(exc))
            return result
        self._record_response(call, candidate, result, response, copy)
        return result

    def _check_key_again(self, call: Call) -> ResultCode | None:
        """Return the refusal of a request whose key changed since admission.

        The request is sent as whose it was admitted, since that customer's
        regions and quota were applied.
        """
        found = self.gate.identify(
            call.metadata, call.route, call.req.arrived_s
        )
        if not found.checked:
            return None
        admitted = call.identity.customer
        if admitted is None and call.route.public:
            call.identity = ANONYMOUS
            return None
        if found.refusal is not None:
            return found.refusal
        if admitted is None or found.customer is None:
            return ResultCode.configuration_stale
        if found.customer.name != admitted.name:
            return ResultCode.configuration_stale
        return None

    def _record_sent(
        self, call: Call, candidate: Candidate, copy: _Copy
    ) -> None:
        started_s = copy.started_s
        call.sends += 1
        if not call.hedged:
            # The decision to hedge is about the first copy.
            call.sent_at_s = started_s
            call.candidate = candidate
        call.sent_event.set()
        self.log.emit(
            'sent',
            id=call.metadata.request_id,
            route=call.route.name,
            server=candidate.name,
            far=candidate.distance.round_trip_s * 1000,
            busy=candidate.load.estimated_requests(started_s),
            slowness=candidate.load.slowness(started_s),
            told_ms_ago=candidate.load.report_age_ms(started_s),
            waited_ms=(started_s - call.req.arrived_s) * 1000,
            attempt=call.sends,
            port=copy.port,
            nth=copy.nth,
            coordinator=call.coordinator or 'none',
            limit=candidate.limit.requests_per_s,
        )

    def _record_response(
        self,
        call: Call,
        candidate: Candidate,
        result: SendResult,
        response: BackendResponse,
        copy: '_Copy',
    ) -> None:
        result.delivered = True
        metadata = self.dialect.read_response(response)
        result.metadata = metadata
        self.answers.record(
            call, candidate, response, metadata, port=copy.port, nth=copy.nth
        )
        self._evaluate(call, candidate, result, response, metadata)
        self.record_send(call, candidate, _outcome(result), response.body.size)
        if result.usable and not result.rejected:
            nominal_s = (now_s() - copy.started_s) / copy.slowness
            self._record_service_time(call, nominal_s, full=copy.full)
            self.service_times.record_size(call.route.name, response.body.size)

    def _log_queued(self, call: Call, ahead: int) -> None:
        self.log.emit(
            'queued',
            id=call.metadata.request_id,
            service=call.service,
            ahead=ahead,
            left_ms=call.left_s() * 1000,
        )

    def _record_service_time(
        self, call: Call, nominal_s: float, *, full: bool
    ) -> None:
        if full:
            call.queue.table.full_load.record(nominal_s / call.queued.service_s)
        else:
            self.service_times.record(call.route.name, nominal_s)

    def _response_filter(
        self, call: Call, server: str, copy: _Copy
    ) -> Callable[[BackendResponse], bool]:
        expected = call.metadata.request_id

        def belongs(response: BackendResponse) -> bool:
            metadata = self.dialect.read_response(response)
            if metadata.request_id is None:
                # After the first request on a connection it may be an earlier
                # response that the server sends once more.
                own = copy.first
            else:
                own = metadata.request_id == expected
            if not own:
                self.answers.record_skipped(
                    call, server, response, metadata, port=copy.port
                )
            return own

        return belongs

    def _record_lost(
        self,
        call: Call,
        candidate: Candidate,
        result: SendResult,
        reason: str,
    ) -> None:
        call.may_have_run = True
        result.may_have_run = True
        result.delivered = True
        result.reason = reason
        self.record_send(call, candidate, 'unknown', 0)
        candidate.load.record_outcome(now_s(), failed=True)
        self.pool.drop(candidate.address)
        self.suspect_crash(call, candidate.name)
        self.log.emit(
            'answer_lost',
            important=True,
            id=call.metadata.request_id,
            server=candidate.name,
            why=reason,
        )

    def _evaluate(
        self,
        call: Call,
        candidate: Candidate,
        result: SendResult,
        response: BackendResponse,
        metadata: ResponseMetadata,
    ) -> None:
        now = now_s()
        if metadata.load is not None:
            candidate.load.record_report(metadata.load)
        self.limits.record_response(
            candidate, metadata.limit, call.metadata.request_id
        )
        self.statements.record(candidate, metadata)
        if metadata.caller_fault and not response.body.truncated:
            result.response = response
            result.reason = f'status_{response.status}'
            return
        if metadata.not_run:
            result.reason = 'other_server' if metadata.other_server else 'shed'
            candidate.load.record_outcome(now, failed=True)
            if metadata.other_server:
                candidate.load.eject(now)
            return
        result.may_have_run = True
        call.may_have_run = True
        why = _response_fault(response, metadata, call)
        if why:
            result.reason = why
            self._record_unusable(call, candidate, response, why)
            return
        result.response = response
        result.reason = f'status_{response.status}'
        failed = response.status >= _SERVER_ERROR
        candidate.load.record_outcome(now, failed=failed)

    def _record_unusable(
        self,
        call: Call,
        candidate: Candidate,
        response: BackendResponse,
        why: str,
    ) -> None:
        candidate.load.record_outcome(now_s(), failed=True)
        if response.body.truncated or call.trial:
            self.suspect_crash(call, candidate.name)
        self.log.emit(
            'answer_bad',
            important=True,
            id=call.metadata.request_id,
            server=candidate.name,
            why=why,
        )


def _refuse_key(code: ResultCode) -> SendResult:
    refusal = Refused(code.name, STALE_RETRY_AFTER_S)
    return SendResult(reason=refusal.reason, refusal=refusal)


def _refuse_stopping() -> SendResult:
    refusal = Refused('stopping', STOPPING_RETRY_AFTER_S)
    return SendResult(reason=refusal.reason, refusal=refusal)


def _outcome_of(result: SendResult) -> Outcome:
    """Return what the attempt tells about the server."""
    if result.reason in _UNREACHABLE_REASONS:
        return Outcome.unreachable
    if not result.delivered or result.rejected:
        return Outcome.unknown
    return Outcome.succeeded if result.usable else Outcome.failed


def _outcome(result: SendResult) -> str:
    if result.response is not None and not result.rejected:
        return 'ran'
    return 'unknown' if result.may_have_run else 'not_run'


def _is_full(candidate: Candidate, now: float) -> bool:
    load = candidate.load
    return load.estimated_requests(now) > NEARLY_FULL_SHARE * load.slots


def _response_fault(
    response: BackendResponse, metadata: ResponseMetadata, call: Call
) -> str:
    if response.body.truncated:
        return 'answer_cut_short'
    if metadata.encoded:
        return 'answer_encoded'
    if response.status not in _SUCCESS:
        return _failure_fault(metadata, call)
    if not metadata.signed:
        return 'answer_unsigned'
    if (metadata.request_id or '') != call.metadata.request_id:
        return 'answer_without_id'
    return ''


def _failure_fault(metadata: ResponseMetadata, call: Call) -> str:
    if metadata.status_denies_run and not call.route.repeatable:
        # The server does not state that nothing ran.
        return 'refusal_unstated'
    return ''
