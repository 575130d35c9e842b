"""Claim a request's key before its dispatch and settle it after."""

import secrets
from functools import singledispatch
from typing import Final

import attrs

from ..claims.keys import parse_key
from ..claims.orders import ClaimOrder
from ..claims.register import Register
from ..claims.table import (
    MAX_KEPT_BODY_BYTES,
    Answer,
    ClaimState,
    Decision,
)
from ..core.errors import WagtailforkError
from ..core.outcomes import NotRun, Ran, outcome_of
from ..core.results import ResultCode
from ..peers.messages import ClaimReply
from .exchange import Exchange, Replay
from .request import CallerRequest

_CLAIM_ID_BYTES: Final = 8

_DECISION_CODES: Final = {
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
class Claimant:
    """Deal with the register on behalf of one request at a time."""

    register: Register

    async def claim(self, req: CallerRequest) -> ClaimOrder | Replay:
        """Give the granted claim, or the kept answer of an earlier run.

        Raise the numbered error of any other decision.
        """
        order = _make_order(req)
        reply = await self._ask(req, order)
        decision = Decision(reply.decision)
        if decision == Decision.granted:
            return order
        if decision == Decision.ran:
            return Replay(
                Answer(
                    status=reply.status,
                    content_type=reply.content_type,
                    body=reply.body,
                ),
            )
        self.register.settle(order, ClaimState.pending, Answer())
        raise WagtailforkError(_DECISION_CODES[decision], order.key.suffix)

    async def close(
        self,
        req: CallerRequest,
        refusal: WagtailforkError,
    ) -> WagtailforkError:
        """Give the true refusal of a request that was refused unclaimed.

        'Not run' is true only once no other send of the key can run, so the
        key is claimed and closed first.
        """
        try:
            order = await self.claim(req)
        except WagtailforkError as exc:
            return refusal if exc.code in _NEVER_RUNS else exc
        if isinstance(order, Replay):
            return WagtailforkError(ResultCode.ran_answer_not_kept, '')
        self.register.settle(order, ClaimState.closed, Answer())
        return refusal

    def settle_failed(self, order: ClaimOrder, exc: BaseException) -> None:
        """Record a claimed request that gave no answer."""
        state = claim_state(outcome_of(exc))
        self.register.settle(order, state, Answer())

    def settle_ran(self, order: ClaimOrder, exchange: Exchange) -> None:
        """Record a request that ran, with its answer if that is small."""
        if not exchange.whole or len(exchange.first) > MAX_KEPT_BODY_BYTES:
            self.register.settle(order, ClaimState.ran_not_kept, Answer())
            return
        answer = Answer(
            status=exchange.response.status,
            content_type=exchange.response.headers.get('content-type', ''),
            body=exchange.first,
        )
        self.register.settle(order, ClaimState.ran, answer)

    async def _ask(self, req: CallerRequest, order: ClaimOrder) -> ClaimReply:
        try:
            return await self.register.claim(order, req.deadline)
        except BaseException:
            # This send will never dispatch: let a later one claim the key.
            self.register.settle(order, ClaimState.pending, Answer())
            raise


@singledispatch
def claim_state(outcome: object) -> ClaimState:
    """Give the state in which an outcome leaves its key.

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


# A key in one of these states, or of no known form, never runs any more.
_NEVER_RUNS: Final = frozenset(
    (
        ResultCode.key_closed,
        ResultCode.key_malformed,
        ResultCode.key_missing,
    )
)


def _make_order(req: CallerRequest) -> ClaimOrder:
    if not req.key_text:
        raise WagtailforkError(ResultCode.key_missing, req.method)
    return ClaimOrder(
        key=parse_key(req.key_text),
        customer=req.customer,
        digest=req.fingerprint,
        claim_id=secrets.token_hex(_CLAIM_ID_BYTES),
    )
