"""Final responses to callers: forwarded, failed or refused."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..core.results import ResultCode, http_status
from ..http1.body import BodyTruncated
from ..http1.request import CallerRequest
from ..http1.responses import BackendResponse
from .call import Call, SendResult
from .dialect import Dialect, RequestMetadata
from .evidence import ConfigurationEvidence
from .meters import Meters
from .token_spender import QUOTA

# A VM that asks for the age of its configuration gets it by then.
STALE_RETRY_AFTER_S: Final = 0.5
SHED_RETRY_AFTER_S: Final = 0.1  # about the time until a slot is freed
_MS_PER_S: Final = 1000
_MIN_DENIAL: Final = 300
_MAX_DENIAL: Final = 499
# The limits of the configuration decide them.
_BY_LIMIT: Final = frozenset(
    (
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    )
)
# They say that a request has not run and may come again.
_NOT_NOW: Final = frozenset((408, 421, 429))
# By the reason of a send that was refused for the key of its request.
_KEY_CODES: Final = {
    code.name: code
    for code in (
        ResultCode.customer_key_missing,
        ResultCode.customer_key_unknown,
        ResultCode.customer_key_repeated,
        ResultCode.configuration_stale,
    )
}


@attrs.define(eq=False, kw_only=True)
class Responder:
    """Send each caller its final response and record the outcome."""

    dialect: Dialect
    log: EventLog
    meters: Meters
    evidence: ConfigurationEvidence

    async def finish(self, call: Call, result: SendResult) -> None:
        """Respond to the caller with the result of the last attempt."""
        if result.response is not None:
            await self._deliver(call, result.response, result)
            return
        if call.may_have_run:
            self._fail(call, ResultCode.connection_lost, result.reason)
            return
        retry_s = (
            result.refusal.retry_after_s
            if result.refusal
            else SHED_RETRY_AFTER_S
        )
        code = _KEY_CODES.get(result.reason)
        if code is not None:
            self._conclude(call, 'refused')
            self.refuse_key(
                call.req, call.metadata, code, refused_by=call.refused_by
            )
            return
        code = ResultCode.overloaded
        if result.reason == 'no_server':
            code = ResultCode.no_backend
        elif result.reason == QUOTA:
            code = ResultCode.rate_limited
            self._record_quota_refused(call, retry_s)
        self.refuse_call(call, code, retry_s, result.reason)

    def _record_quota_refused(self, call: Call, retry_s: float) -> None:
        customer = call.queued.customer
        self.meters.quota_refused[customer] += 1
        self.log.emit(
            'quota_refused',
            id=call.metadata.request_id,
            customer=customer,
            retry_after_s=retry_s,
        )

    def refuse_call(
        self,
        call: Call,
        code: ResultCode,
        retry_after_s: float | None,
        reason: str,
    ) -> None:
        """Refuse a routed request that has not run and will not be sent."""
        self._conclude(call, 'refused')
        self.refuse(
            call.req,
            call.metadata,
            code,
            retry_after_s,
            reason,
            refused_by=call.refused_by,
        )

    def record_caller_left(self, call: Call) -> None:
        """Record that the caller disconnected before the response."""
        self._conclude(call, 'caller_left')
        self.log.emit(
            'caller_left',
            id=call.metadata.request_id,
            sends=call.sends,
            ms=(now_s() - call.req.arrived_s) * 1000,
        )

    async def _deliver(
        self, call: Call, response: BackendResponse, result: SendResult
    ) -> None:
        try:
            await call.req.wait_to_respond(response.body.size)
            await self._forward(call, response, result.server)
        finally:
            if result.conn is not None:
                # Pooling it after a long response is not worth the bookkeeping.
                result.conn.close()

    async def _forward(
        self, call: Call, response: BackendResponse, server: str
    ) -> None:
        headers = self.dialect.response_headers(response)
        self._conclude(call, 'answered')
        self.log.emit(
            'answered',
            id=call.metadata.request_id,
            route=call.route.name,
            server=server,
            status=response.status,
            ms=(now_s() - call.req.arrived_s) * 1000,
            sends=call.sends,
        )
        if response.body.complete and response.body.replayable:
            call.req.respond(response.status, headers, response.body.payload())
            return
        try:
            await call.req.stream_response(
                response.status, headers, response.body
            )
        except BodyTruncated as exc:
            self._abort(call, str(exc))

    def _abort(self, call: Call, why: str) -> None:
        self._conclude(call, 'broken_off')
        self.log.emit(
            'broken_off',
            important=True,
            id=call.metadata.request_id,
            why=why,
        )
        call.req.abort()

    def finish_expired(self, call: Call) -> None:
        """Respond to a caller whose deadline has passed."""
        if call.req.response_started:
            self._abort(call, 'deadline passed during the response')
            return
        if call.may_have_run or call.sends:
            self._fail(call, ResultCode.backend_silent, 'deadline_passed')
            return
        self.refuse_call(call, ResultCode.overloaded, None, 'deadline_passed')

    def _conclude(self, call: Call, outcome: str) -> None:
        call.concluded = True
        self.meters.record_ended(
            call.service,
            call.route.name,
            outcome,
            now_s() - call.req.arrived_s,
        )

    def _fail(self, call: Call, code: ResultCode, reason: str) -> None:
        self._conclude(call, 'failed')
        self.log.emit(
            'failed',
            important=True,
            id=call.metadata.request_id,
            route=call.route.name,
            code=int(code),
            why=reason,
            ms=(now_s() - call.req.arrived_s) * 1000,
            sends=call.sends,
        )
        headers = self.dialect.refusal_headers(int(code), None)
        call.req.respond(http_status(code), headers)

    def refuse_key(
        self,
        req: CallerRequest,
        metadata: RequestMetadata,
        code: ResultCode,
        *,
        refused_by: Sequence[str] = (),
    ) -> None:
        """Refuse a request for its key, which is not logged."""
        stale = code is ResultCode.configuration_stale
        if stale or not self.evidence.allows_denial(req.arrived_s):
            self.refuse_stale(req, metadata, code.name, refused_by=refused_by)
            return
        self.meters.key_refusals[code.name] += 1
        self.log.emit(
            'key_refused',
            important=True,
            id=metadata.request_id,
            code=int(code),
            why=code.name,
            config=self.evidence.view.version,
        )
        self.refuse(req, metadata, code, None, refused_by=refused_by)

    def refuse_stale(
        self,
        req: CallerRequest,
        metadata: RequestMetadata,
        verdict: str,
        *,
        refused_by: Sequence[str] = (),
    ) -> None:
        """Refuse a request that only an old configuration calls wrong."""
        self.meters.stale_refusals += 1
        self.log.emit(
            'configuration_stale',
            important=True,
            id=metadata.request_id,
            verdict=verdict,
            host=(req.find(b'host') or b'').decode('latin-1'),
            path=req.target.decode('latin-1').partition('?')[0],
            **self.evidence.describe(req.arrived_s),
        )
        self.refuse(
            req,
            metadata,
            ResultCode.configuration_stale,
            STALE_RETRY_AFTER_S,
            refused_by=refused_by,
        )

    def refuse(
        self,
        req: CallerRequest,
        metadata: RequestMetadata,
        code: ResultCode,
        retry_after_s: float | None,
        reason: str = '',
        *,
        refused_by: Sequence[str] = (),
    ) -> None:
        """Refuse a request that has not run and will not be sent.

        ``refused_by`` names the servers to which it was sent.
        """
        self.meters.refusals[reason or code.name] += 1
        self.log.emit(
            'refused',
            important=True,
            id=metadata.request_id,
            code=int(code),
            why=reason or code.name,
            refused_by=','.join(refused_by) or 'none',
            config=self.evidence.view.version,
            retry_after_s=retry_after_s,
            ms=(now_s() - req.arrived_s) * 1000,
        )
        status = http_status(code)
        self._record_denial(req, metadata, status, reason or code.name)
        headers = self.dialect.refusal_headers(int(code), retry_after_s)
        req.respond(status, headers)

    async def reject(self, req: CallerRequest) -> None:
        """Respond to a request that could not be read."""
        status = req.rejected_with or HTTPStatus.BAD_REQUEST
        metadata = self.dialect.read_request(req)
        if status in _BY_LIMIT and not await self.evidence.confirm(
            req.arrived_s
        ):
            self.refuse_stale(req, metadata, req.rejected_why)
            return
        self._record_denial(req, metadata, status, req.rejected_why)
        req.respond(status, [])

    def _record_denial(
        self,
        req: CallerRequest,
        metadata: RequestMetadata,
        status: int,
        why: str,
    ) -> None:
        """Record a response that tells a caller that its request is wrong."""
        if not _MIN_DENIAL <= status <= _MAX_DENIAL:
            return
        self.meters.denials[(status, why)] += 1
        if status in _NOT_NOW:
            return
        self.log.emit(
            'denied',
            important=True,
            id=metadata.request_id,
            status=status,
            why=why,
            host=(req.find(b'host') or b'').decode('latin-1'),
            path=req.target.decode('latin-1').partition('?')[0],
            **self.evidence.describe(req.arrived_s),
        )
