"""A gateway configured for the users' platform."""

import functools
from collections.abc import Callable

from ..core.settings import GatewaySettings
from ..gateway.adapter import Adapter
from ..gateway.node import GatewayNode
from ..gateway.poll_watch import PollWatch, phase_of
from ..gateway.view import View
from .documents import decode_configuration, decode_server
from .handlers import PlatformHandlers
from .headers import PlatformDialect
from .source import PlatformSource
from .store import StoreClient


def make_gateway(cfg: GatewaySettings) -> GatewayNode:
    """Return a gateway that uses the platform's names and formats."""

    def make_source(
        view: View,
        should_read: Callable[[], bool],
        on_status: Callable[[], None],
        on_confirmed: Callable[[float], None],
    ) -> PlatformSource:
        store = StoreClient(cfg.store_address)
        watch = PollWatch(
            cfg.store_wait_s,
            cfg.store_settle_s,
            phase_of(cfg.failure_domain, cfg.regions),
        )
        return PlatformSource(
            store, view, should_read, on_status, watch, on_confirmed
        )

    def make_directory(
        is_ready: Callable[[], bool],
        addresses: Callable[[str, str], list[str]],
    ) -> PlatformHandlers:
        return PlatformHandlers(
            is_ready=is_ready,
            addresses=addresses,
            ttl_s=cfg.directory_ttl_s,
        )

    adapter = Adapter(
        dialect=PlatformDialect(),
        decode_configuration=functools.partial(
            decode_configuration, regions=frozenset(cfg.regions.values())
        ),
        decode_server=decode_server,
        make_source=make_source,
        make_directory=make_directory,
    )
    return GatewayNode(cfg, adapter)
