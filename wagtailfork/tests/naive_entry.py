"""An entry VM that decides claims alone, without asking the range's primary.

Negative control: the history check must find the double runs that this VM
allows, otherwise passing the check proves nothing.
"""

from ..claims.orders import ClaimOrder
from ..claims.register import Register
from ..claims.table import ClaimTable, Decision
from ..cli.main import main
from ..peers.messages import ClaimReply

_TABLE = ClaimTable()


async def _claim_locally(
    register: Register,
    order: ClaimOrder,
    deadline: float,
) -> ClaimReply:
    slot_and_key = (order.key.slot, order.scoped_key())
    decision = _TABLE.claim(*slot_and_key, order.digest, order.claim_id)
    if decision == Decision.pending:
        _TABLE.confirm(*slot_and_key, order.claim_id)
        decision = Decision.granted
    return ClaimReply(decision=decision.value)


if __name__ == '__main__':
    Register.claim = _claim_locally  # type: ignore[assignment,method-assign]
    main()
