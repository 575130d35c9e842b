"""Claim idempotency keys before dispatch and settle them afterwards."""

import secrets
from functools import singledispatch
from typing import Final

import attrs

from ..claims.claim_spec import ClaimSpec
from ..claims.keys import parse_key
from ..claims.register import ClaimRegister
from ..claims.table import (
    MAX_STORED_BODY_BYTES,
    ClaimState,
    Decision,
    StoredResponse,
)
from ..core.errors import WagtailforkError
from ..core.outcomes import NotRun, Ran, outcome_of
from ..core.results import ResultCode
from ..peers.messages import ClaimReply
from .exchange import Exchange, Replay
from .request import CallerRequest

_CLAIM_ID_BYTES: Final = 8

_ERROR_CODES: Final = {
    Decision.in_progress: ResultCode.in_progress,
    Decision.pending: ResultCode.in_progress,
    Decision.ran: ResultCode.replayed,
    Decision.ran_not_kept: ResultCode.ran_answer_not_kept,
    Decision.closed: ResultCode.key_closed,
    Decision.unknown: ResultCode.connection_lost,
    Decision.conflict: ResultCode.key_conflict,
    Decision.expired: ResultCode.key_expired,
}


@attrs.define
class ClaimClient:
    """Claim and settle the idempotency keys of requests."""

    register: ClaimRegister

    async def claim(self, req: CallerRequest) -> ClaimSpec | Replay:
        """Return the granted claim or the stored response of an earlier run.

        Raise an error with the matching result code for other decisions.
        """
        spec = _make_claim_spec(req)
        reply = await self._request_claim(req, spec)
        decision = Decision(reply.decision)
        if decision == Decision.granted:
            return spec
        if decision == Decision.ran:
            return Replay(
                StoredResponse(
                    status=reply.status,
                    content_type=reply.content_type,
                    body=reply.body,
                ),
            )
        self.register.settle(spec, ClaimState.pending, StoredResponse())
        raise WagtailforkError(_ERROR_CODES[decision], spec.key.suffix)

    async def close_key(
        self,
        req: CallerRequest,
        refusal: WagtailforkError,
    ) -> WagtailforkError:
        """Return the error for a request that was refused before its claim.

        A not-run result is correct only if no other send of the key can run
        later, so the key is claimed and closed first.
        """
        try:
            spec = await self.claim(req)
        except WagtailforkError as exc:
            return refusal if exc.code in _NEVER_RUN_CODES else exc
        if isinstance(spec, Replay):
            return WagtailforkError(ResultCode.ran_answer_not_kept, '')
        self.register.settle(spec, ClaimState.closed, StoredResponse())
        return refusal

    def settle_failure(self, spec: ClaimSpec, exc: BaseException) -> None:
        """Settle the key of a request that failed without a response."""
        state = claim_state(outcome_of(exc))
        self.register.settle(spec, state, StoredResponse())

    def settle_response(self, spec: ClaimSpec, exchange: Exchange) -> None:
        """Settle the key of a request that ran; store a small response."""
        if (
            not exchange.is_complete
            or len(exchange.buffered) > MAX_STORED_BODY_BYTES
        ):
            self.register.settle(
                spec, ClaimState.ran_not_kept, StoredResponse()
            )
            return
        stored = StoredResponse(
            status=exchange.response.status,
            content_type=exchange.response.headers.get('content-type', ''),
            body=exchange.buffered,
        )
        self.register.settle(spec, ClaimState.ran, stored)

    async def _request_claim(
        self, req: CallerRequest, spec: ClaimSpec
    ) -> ClaimReply:
        try:
            return await self.register.claim(spec, req.deadline)
        except BaseException:
            # This copy is never sent, so a later one may claim the key.
            self.register.settle(spec, ClaimState.pending, StoredResponse())
            raise


@singledispatch
def claim_state(outcome: object) -> ClaimState:
    """Return the key state that follows from a request's outcome.

    >>> claim_state(NotRun(ResultCode.overloaded)).value
    'closed'
    """
    return ClaimState.unknown


@claim_state.register
def _state_of_ran(outcome: Ran) -> ClaimState:
    return ClaimState.ran_not_kept


@claim_state.register
def _state_of_not_run(outcome: NotRun) -> ClaimState:
    return ClaimState.closed


# A request with one of these key errors can never run.
_NEVER_RUN_CODES: Final = frozenset(
    (
        ResultCode.key_closed,
        ResultCode.key_malformed,
        ResultCode.key_missing,
    )
)


def _make_claim_spec(req: CallerRequest) -> ClaimSpec:
    if not req.raw_key:
        raise WagtailforkError(ResultCode.key_missing, req.method)
    return ClaimSpec(
        key=parse_key(req.raw_key),
        customer=req.customer,
        digest=req.fingerprint,
        claim_id=secrets.token_hex(_CLAIM_ID_BYTES),
    )
