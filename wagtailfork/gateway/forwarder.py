"""Carry one request to a backend server and its answer back."""

import asyncio
import logging
import zlib
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..core.results import ResultCode, http_status
from ..http1.answers import Answer, AnswerFailed, NothingSent
from ..http1.backend import BackendConnection
from ..http1.body import BodyBroken
from ..http1.caller import CallerRequest
from ..http1.pool import ConnectionPool
from ..routing.allowance import RetryAllowance
from ..routing.late_binding import Candidate, Refused, ServiceQueue, Ticket
from ..routing.quarantine import Quarantine
from ..routing.routes import Route, WeightedTurns
from ..routing.work_time import WorkTimes
from ..routing.load import FULL_SHARE
from ..routing.worth import worth_at
from .dialect import AnswerFacts, Dialect, RequestFacts
from .roster import Roster
from .view import View

DEFAULT_DEADLINE_S: Final = 10.0  # for callers that name none
CONNECT_S: Final = 0.4  # six round trips between regions
MOST_TRIES: Final = 5  # servers tried while none has taken a byte
# Expected service times after which a second copy is considered.
HEDGE_CHECKS: Final = (0.35, 0.8, 1.4, 2.5, 5, 1000)
HEDGE_SHARE: Final = 0.6  # of the retry allowance; the rest is for failures
HEDGE_LEAST_GAIN: Final = 0.2  # of the answer's worth, for a second copy
HEDGE_STEP_S: Final = 0.02  # how often a request not sent yet is looked at
HEADS_KB: Final = 0.6  # of both heads and the packets that carry them
ANSWER_MARGIN_S: Final = 0.03  # so that our answer precedes the deadline
NOT_READY_RETRY_S: Final = 0.3
_SERVER_ERROR: Final = 500
_SUCCESS: Final = range(200, 300)

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Sent:
    """Hold how one send of a request ended."""

    server: str = ''
    answer: Answer | None = None
    facts: AnswerFacts | None = None
    may_have_run: bool = False
    reason: str = ''
    refused: Refused | None = None
    reached: bool = False  # the server got the request, run or not
    conn: BackendConnection | None = None  # on which the answer still comes

    @property
    def good(self) -> bool:
        """Tell whether the answer can go to the caller as it is."""
        return self.answer is not None and self.answer.status < _SERVER_ERROR


@attrs.define(eq=False)
class _Call:
    req: CallerRequest
    facts: RequestFacts
    route: Route
    service: str
    queue: ServiceQueue
    ticket: Ticket
    deadline_at_s: float
    fingerprint: str = ''
    sends: int = 0
    tries: int = 0
    sent_at_s: float = 0
    checks: int = 0
    candidate: Candidate | None = None
    may_have_run: bool = False

    def left_s(self) -> float:
        return self.deadline_at_s - now_s()


LoadChanged = Callable[[Candidate], None]


@attrs.define(eq=False)
class Counters:
    """Count what became of requests."""

    answered: int = 0
    refused: int = 0
    failed: int = 0
    retries: int = 0
    hedges: int = 0
    left: int = 0


@attrs.define(eq=False, kw_only=True)
class Forwarder:
    """Serve the requests of callers."""

    view: View
    roster: Roster
    pool: ConnectionPool
    dialect: Dialect
    log: EventLog
    allowance: Callable[[str], RetryAllowance]
    vms: Callable[[], int]
    load_changed: LoadChanged
    strike: Callable[[str, str], None]
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    turns: WeightedTurns = attrs.field(factory=WeightedTurns)
    work: WorkTimes = attrs.field(factory=WorkTimes)
    counters: Counters = attrs.field(factory=Counters)

    async def handle(self, req: CallerRequest) -> None:
        """Answer one request."""
        facts = self.dialect.read_request(req)
        cfg = self.view.configuration
        if cfg is None or not self.view.complete:
            self._refuse(req, facts, ResultCode.not_serving, NOT_READY_RETRY_S)
            return
        host = (req.find(b'host') or b'').decode('latin-1').partition(':')[0]
        path = req.target.decode('latin-1').partition('?')[0]
        route = cfg.table.find(host, path)
        if route is None:
            self._refuse(req, facts, ResultCode.unknown_service, None)
            return
        await self._serve_route(req, facts, route)

    async def _serve_route(
        self,
        req: CallerRequest,
        facts: RequestFacts,
        route: Route,
    ) -> None:
        call = self._open(req, facts, route)
        loop = asyncio.get_running_loop()
        stop_at = loop.time() + max(0, call.left_s() - ANSWER_MARGIN_S)
        try:
            async with asyncio.timeout_at(stop_at):
                await self._serve_call(call)
        except TimeoutError:
            self._answer_late(call)
        except asyncio.CancelledError:
            self.counters.left += 1
            self.log.emit('caller_left', id=facts.request_id, sends=call.sends)
            raise

    def _open(
        self,
        req: CallerRequest,
        facts: RequestFacts,
        route: Route,
    ) -> _Call:
        patience_s = facts.deadline_s or DEFAULT_DEADLINE_S
        if route.timeout_s is not None:
            patience_s = min(patience_s, route.timeout_s)
        service = self.turns.next_part(route.name, route.parts)
        deadline_at_s = req.arrived_s + patience_s
        ticket = Ticket(
            rank=route.rank,
            objective_at_s=req.arrived_s + route.objective_s,
            deadline_at_s=deadline_at_s,
            work_s=self.work.expect(route.name, route.objective_s),
            arrived_s=req.arrived_s,
        )
        self.allowance(service).earn(now_s())
        queue = self.roster.queue(service)
        return _Call(req, facts, route, service, queue, ticket, deadline_at_s)

    async def _serve_call(self, call: _Call) -> None:
        await call.req.body.wait_filled()
        if call.req.body.broken:
            call.req.break_off()
            return
        answer_kb = self.work.expect_kb(call.route.name)
        call.ticket.kilobytes = HEADS_KB + answer_kb + call.req.body.size / 1024
        call.fingerprint = _fingerprint(call.req)
        if self.quarantine.is_refused(call.fingerprint, now_s()):
            self._refuse(
                call.req,
                call.facts,
                ResultCode.overloaded,
                None,
                ResultCode.quarantined.name,
            )
            return
        sent = await self._try_servers(call)
        await self._finish(call, sent)

    async def _try_servers(self, call: _Call) -> Sent:
        kept: Sent | None = None
        while True:
            sent = await self._race(call)
            if sent.answer is not None:
                kept = sent
            if sent.good or not self._may_try_again(call, sent):
                return kept or sent
            self.counters.retries += 1
            self.log.emit(
                'sent_again',
                important=True,
                id=call.facts.request_id,
                route=call.route.name,
                after=sent.reason,
                server=sent.server,
                sends=call.sends,
                left_ms=call.left_s() * 1000,
            )

    def _may_try_again(self, call: _Call, sent: Sent) -> bool:
        if sent.refused is not None or call.tries >= MOST_TRIES:
            return False
        if sent.may_have_run and not call.route.repeatable:
            return False
        if not call.req.body.replayable or call.left_s() <= ANSWER_MARGIN_S:
            return False
        if self.quarantine.is_refused(call.fingerprint, now_s()):
            return False
        call.ticket.excluded.add(sent.server)
        if not sent.reached:
            return True
        if call.sends >= call.route.max_attempts:
            return False
        return self.allowance(call.service).spend(now_s(), self.vms())

    # Hedges: a second copy of a slow repeatable request.

    async def _race(self, call: _Call) -> Sent:
        tasks = {asyncio.create_task(self._send_once(call))}
        hedged = not call.route.repeatable
        try:
            while True:
                wait_s = None if hedged else self._hedge_in_s(call)
                done, tasks = await asyncio.wait(
                    tasks,
                    timeout=wait_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    copies = await self._consider_copy(call)
                    hedged = bool(copies)
                    tasks |= copies
                    continue
                best = _best(done)
                if best.good or not tasks:
                    return best
        finally:
            for task in tasks:
                task.cancel()

    def _hedge_in_s(self, call: _Call) -> float:
        if not call.sends:
            return HEDGE_STEP_S
        due_s = call.sent_at_s + call.ticket.work_s * HEDGE_CHECKS[call.checks]
        return max(0, due_s - now_s())

    async def _consider_copy(self, call: _Call) -> set['asyncio.Task[Sent]']:
        """Send a second copy if the first is expected much later."""
        candidate = call.candidate
        if not call.sends or candidate is None or call.sends > 1:
            return set()
        call.checks = min(call.checks + 1, len(HEDGE_CHECKS) - 1)
        if call.route.max_attempts < 2 or not self._may_hedge(call):
            return set()
        if candidate.must_look(now_s()):
            await self.roster.look(candidate)
        now = now_s()
        choice = call.queue.choose(call.ticket, now)
        if choice is None or not choice.free:
            return set()
        gain = choice.forecast.worth - self._worth_of_rest(call, candidate, now)
        if gain < HEDGE_LEAST_GAIN:
            return set()
        allowance = self.allowance(call.service)
        if not allowance.spend(now, self.vms(), share=HEDGE_SHARE):
            return set()
        self.counters.hedges += 1
        self.log.emit(
            'second_copy',
            id=call.facts.request_id,
            route=call.route.name,
            gain=round(gain, 2),
            first=candidate.name,
            slowness=candidate.load.slowness(now),
            elapsed_ms=(now - call.sent_at_s) * 1000,
        )
        return {asyncio.create_task(self._send_once(call))}

    def _may_hedge(self, call: _Call) -> bool:
        allowance = self.allowance(call.service)
        return allowance.has(now_s(), self.vms(), share=HEDGE_SHARE)

    def _worth_of_rest(
        self,
        call: _Call,
        candidate: Candidate,
        now: float,
    ) -> float:
        """Forecast the worth of an answer that is under way."""
        need = call.ticket.need(now)
        elapsed_s = now - call.sent_at_s
        # Past its expected end, half of the work is taken to be left.
        rest_s = max(need.work_s - elapsed_s, need.work_s / 2)
        if now < candidate.load.out_until_s:
            return 0
        service_s = rest_s * candidate.load.slowness(now)
        answer_s = service_s + candidate.distance.round_trip_s / 2
        return worth_at(answer_s, need)

    # One send.

    async def _send_once(self, call: _Call) -> Sent:
        call.tries += 1
        try:
            candidate = await call.queue.place(call.ticket)
        except Refused as exc:
            return Sent(reason=exc.reason, refused=exc)
        call.ticket.excluded.add(candidate.name)
        self.load_changed(candidate)
        try:
            return await self._exchange(call, candidate)
        finally:
            call.queue.release(candidate)
            self.load_changed(candidate)

    async def _exchange(self, call: _Call, candidate: Candidate) -> Sent:
        try:
            conn = await self.pool.acquire(
                candidate.address,
                once=not call.route.repeatable,
                timeout_s=min(CONNECT_S, max(0.001, call.left_s())),
            )
        except NothingSent as exc:
            candidate.load.take_out(now_s())
            self.log.emit('connect_failed', server=candidate.name, why=exc)
            return Sent(server=candidate.name, reason='connect_failed')
        try:
            sent = await self._converse(call, candidate, conn)
        except asyncio.CancelledError:
            conn.close()
            raise
        if sent.answer is not None and not sent.answer.body.complete:
            sent.conn = conn
        else:
            self.pool.release(candidate.address, conn)
        return sent

    async def _converse(
        self,
        call: _Call,
        candidate: Candidate,
        conn: BackendConnection,
    ) -> Sent:
        sent = Sent(server=candidate.name)
        begun = now_s()
        left_s = call.deadline_at_s - begun
        if left_s <= 0:
            sent.reason = 'deadline_passed'
            return sent
        req = call.req
        head = self.dialect.render_request(req, left_s, candidate.name)
        call.sends += 1
        call.sent_at_s = begun
        call.candidate = candidate
        self.log.emit(
            'sent',
            id=call.facts.request_id,
            route=call.route.name,
            server=candidate.name,
            far=candidate.distance.round_trip_s * 1000,
            busy=candidate.load.busy(begun),
            slowness=candidate.load.slowness(begun),
            waited_ms=(begun - req.arrived_s) * 1000,
            attempt=call.sends,
        )
        slowness = candidate.load.slowness(begun)
        full = _is_full(candidate, begun)
        try:
            answer = await conn.exchange(
                head,
                req.body if req.body.size or not req.body.complete else None,
                self._accepts(call),
                head_only=req.method == b'HEAD',
            )
            await answer.body.wait_filled()
        except NothingSent as exc:
            call.sends -= 1
            sent.reason = str(exc)
            return sent
        except AnswerFailed as exc:
            conn.close()
            self.pool.note_loss(conn)
            sent.reached = True
            self._note_lost(call, candidate, sent, str(exc))
            return sent
        sent.reached = True
        self._judge(call, candidate, sent, answer)
        if sent.good and sent.answer is not None:
            self._learn(call, (now_s() - begun) / slowness, full=full)
            self.work.note_size(call.route.name, sent.answer.body.size)
        return sent

    def _learn(self, call: _Call, usual_s: float, *, full: bool) -> None:
        if full:
            call.queue.full.note(usual_s / call.ticket.work_s)
        else:
            self.work.note(call.route.name, usual_s)

    def _accepts(self, call: _Call) -> Callable[[Answer], bool]:
        def belongs(answer: Answer) -> bool:
            facts = self.dialect.read_answer(answer)
            return facts.request_id in {None, call.facts.request_id}

        return belongs

    def _note_lost(
        self,
        call: _Call,
        candidate: Candidate,
        sent: Sent,
        reason: str,
    ) -> None:
        call.may_have_run = True
        sent.may_have_run = True
        sent.reason = reason
        candidate.load.note_outcome(now_s(), failed=True)
        self.pool.drop(candidate.address)
        self.strike(call.fingerprint, candidate.name)
        self.log.emit(
            'answer_lost',
            important=True,
            id=call.facts.request_id,
            server=candidate.name,
            why=reason,
        )

    def _judge(
        self,
        call: _Call,
        candidate: Candidate,
        sent: Sent,
        answer: Answer,
    ) -> None:
        facts = self.dialect.read_answer(answer)
        sent.facts = facts
        now = now_s()
        if facts.load is not None:
            candidate.load.note_report(facts.load)
        if facts.not_run:
            sent.reason = 'other_server' if facts.other_server else 'shed'
            candidate.load.note_outcome(now, failed=True)
            if facts.other_server:
                candidate.load.take_out(now)
            return
        sent.may_have_run = True
        call.may_have_run = True
        why = _fault(answer, facts, call)
        if why:
            sent.reason = why
            candidate.load.note_outcome(now, failed=True)
            self.log.emit(
                'answer_bad',
                important=True,
                id=call.facts.request_id,
                server=candidate.name,
                why=why,
            )
            return
        sent.answer = answer
        sent.reason = f'status_{answer.status}'
        failed = answer.status >= _SERVER_ERROR
        candidate.load.note_outcome(now, failed=failed)

    # The answer.

    async def _finish(self, call: _Call, sent: Sent) -> None:
        if sent.answer is not None:
            await self._deliver(call, sent.answer, sent)
            return
        if call.may_have_run:
            self._fail(call, ResultCode.connection_lost, sent.reason)
            return
        retry_s = sent.refused.retry_after_s if sent.refused else 0.1
        code = ResultCode.overloaded
        if sent.reason == 'no_server':
            code = ResultCode.no_backend
        self._refuse(call.req, call.facts, code, retry_s, sent.reason)

    async def _deliver(self, call: _Call, answer: Answer, sent: Sent) -> None:
        headers = self.dialect.answer_headers(answer)
        self.counters.answered += 1
        self.log.emit(
            'answered',
            id=call.facts.request_id,
            route=call.route.name,
            server=sent.server,
            status=answer.status,
            ms=(now_s() - call.req.arrived_s) * 1000,
            sends=call.sends,
        )
        if answer.body.complete and answer.body.replayable:
            call.req.answer(answer.status, headers, answer.body.whole())
            return
        try:
            await call.req.stream_answer(answer.status, headers, answer.body)
        except BodyBroken as exc:
            self._break_off(call, str(exc))
        finally:
            if sent.conn is not None:
                # A long answer's connection is not worth its bookkeeping.
                sent.conn.close()

    def _break_off(self, call: _Call, why: str) -> None:
        self.counters.failed += 1
        self.log.emit(
            'broken_off',
            important=True,
            id=call.facts.request_id,
            why=why,
        )
        call.req.break_off()

    def _answer_late(self, call: _Call) -> None:
        if call.req.answered:
            self._break_off(call, 'deadline passed within the answer')
            return
        if call.may_have_run or call.sends:
            self._fail(call, ResultCode.backend_silent, 'deadline_passed')
            return
        self._refuse(
            call.req,
            call.facts,
            ResultCode.overloaded,
            None,
            'deadline_passed',
        )

    def _fail(self, call: _Call, code: ResultCode, reason: str) -> None:
        self.counters.failed += 1
        self.log.emit(
            'failed',
            important=True,
            id=call.facts.request_id,
            route=call.route.name,
            code=int(code),
            why=reason,
            ms=(now_s() - call.req.arrived_s) * 1000,
            sends=call.sends,
        )
        headers = self.dialect.refusal_headers(int(code), None)
        call.req.answer(http_status(code), headers)

    def _refuse(
        self,
        req: CallerRequest,
        facts: RequestFacts,
        code: ResultCode,
        retry_after_s: float | None,
        reason: str = '',
    ) -> None:
        self.counters.refused += 1
        self.log.emit(
            'refused',
            important=True,
            id=facts.request_id,
            code=int(code),
            why=reason or code.name,
            config=self.view.version,
            retry_after_s=retry_after_s,
            ms=(now_s() - req.arrived_s) * 1000,
        )
        headers = self.dialect.refusal_headers(int(code), retry_after_s)
        req.answer(http_status(code), headers)


def _best(done: 'set[asyncio.Task[Sent]]') -> Sent:
    results = [task.result() for task in done]
    for sent in results:
        if sent.good:
            return sent
    for sent in results:
        if sent.answer is not None:
            return sent
    return results[0]


def _is_full(candidate: Candidate, now: float) -> bool:
    load = candidate.load
    return load.busy(now) > FULL_SHARE * load.slots


def _fault(answer: Answer, facts: AnswerFacts, call: _Call) -> str:
    if answer.body.broken:
        return 'answer_cut_short'
    if facts.encoded:
        return 'answer_encoded'
    if answer.status not in _SUCCESS:
        return ''
    if not facts.signed:
        return 'answer_unsigned'
    if facts.request_id != call.facts.request_id:
        return 'answer_without_id'
    return ''


def _fingerprint(req: CallerRequest) -> str:
    host = req.find(b'host') or b''
    parts = (req.method, host, req.target)
    digest = zlib.crc32(b' '.join(parts))
    if req.body.complete and req.body.replayable:
        digest = zlib.crc32(req.body.whole(), digest)
    return f'{digest:08x}'
