"""An entry VM that decides claims alone, without asking the range's primary.

Negative control: the history check must find the double runs that this VM
allows, otherwise passing the check proves nothing.
"""

from ..claims.claim_spec import ClaimSpec
from ..claims.register import ClaimRegister
from ..claims.table import ClaimTable, Decision
from ..cli.main import main
from ..peers.messages import ClaimReply

_TABLE = ClaimTable()


async def _claim_local(
    register: ClaimRegister,
    spec: ClaimSpec,
    deadline: float,
) -> ClaimReply:
    slot_and_key = (spec.key.slot, spec.scoped_key())
    decision = _TABLE.claim(*slot_and_key, spec.digest, spec.claim_id)
    if decision == Decision.pending:
        _TABLE.confirm(*slot_and_key, spec.claim_id)
        decision = Decision.granted
    return ClaimReply(decision=decision.value)


if __name__ == '__main__':
    ClaimRegister.claim = _claim_local  # type: ignore[assignment,method-assign]
    main()
