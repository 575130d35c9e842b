"""An entry VM whose claims are kept by each VM for itself.

It stands for what the product must not do; the history check has to find
its double runs, or the check proves nothing.
"""

from ..claims.orders import ClaimOrder
from ..claims.register import Register
from ..claims.table import ClaimTable, Decision
from ..cli.main import main
from ..peers.messages import ClaimReply

_TABLE = ClaimTable()


async def _claim_here(
    register: Register,
    order: ClaimOrder,
    deadline: float,
) -> ClaimReply:
    where = (order.key.slot, order.scoped_key())
    decision = _TABLE.claim(*where, order.digest, order.claim_id)
    if decision == Decision.pending:
        _TABLE.confirm(*where, order.claim_id)
        decision = Decision.granted
    return ClaimReply(decision=decision.value)


if __name__ == '__main__':
    Register.claim = _claim_here  # type: ignore[assignment,method-assign]
    main()
