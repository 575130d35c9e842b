"""Which pipelined requests a gateway serves side by side."""

import attrs

from ..http1.request import CallerRequest
from .verdict import find_route
from .view import View


@attrs.frozen
class OverlapPolicy:
    """Let only repeatable requests run beside others of a connection.

    One of them may be cancelled because a response before it closes the
    connection, and its caller takes it as not read.
    """

    view: View

    def may_overlap(self, req: CallerRequest) -> bool:
        """Return whether a request may run beside others."""
        cfg = self.view.configuration
        if cfg is None:
            return False
        route = find_route(cfg, req)
        return route is not None and route.repeatable
