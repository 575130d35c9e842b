"""Whether a request is allowed, by the configuration in force."""

from typing import Final

import attrs

from ..core.results import ResultCode
from ..http1.request import CallerRequest
from ..routing.routes import Route
from .key_check import ANONYMOUS, Identity
from .model import Configuration

# Refusals that blame the caller, so that it does not come again.
_DENIALS: Final = frozenset(
    (
        ResultCode.unknown_service,
        ResultCode.customer_key_missing,
        ResultCode.customer_key_unknown,
        ResultCode.customer_key_repeated,
    )
)


@attrs.frozen(kw_only=True)
class Verdict:
    """Hold the route and the identity of a request, or why it is refused."""

    route: Route | None = None
    identity: Identity = ANONYMOUS
    refusal: ResultCode | None = None
    # Whether the configuration is too old to deny a request.
    stale: bool = False

    @property
    def denies(self) -> bool:
        """Return whether the caller is told that its request is wrong."""
        return self.refusal in _DENIALS


def find_route(cfg: Configuration, req: CallerRequest) -> Route | None:
    """Return the route of a request, if there is one."""
    host = (req.find(b'host') or b'').decode('latin-1').partition(':')[0]
    path = req.target.decode('latin-1').partition('?')[0]
    return cfg.table.find(host, path)
