"""The metrics page, rendered from a node's counters on each scrape."""

from typing import Final, Protocol

from aioprometheus import Gauge, Registry, render

from ..claims.register import ClaimRegister
from ..control.follower import Follower
from ..core.settings import EntrySettings
from ..peers.mesh import Mesh
from ..proxy.app import ProxyApp
from ..proxy.dispatcher import Dispatcher
from ..proxy.hedger import Hedger
from ..routing.admission import Admission
from ..routing.placement import Placement
from ..routing.upstream import Upstream
from ..traffic.ledger import Ledger


class MetricsNode(Protocol):
    """List the parts of a node that metrics are read from."""

    cfg: EntrySettings
    proxy_app: ProxyApp
    admission: Admission
    hedger: Hedger
    dispatcher: Dispatcher
    follower: Follower
    mesh: Mesh
    register: ClaimRegister
    placement: Placement
    upstream: Upstream
    ledger: Ledger


_GAUGES: Final = {
    'wagtailfork_in_flight': 'Requests of callers in flight',
    'wagtailfork_queued': 'Requests waiting for a slot',
    'wagtailfork_refusals': 'Requests refused early since the start',
    'wagtailfork_hedges': 'Second copies of slow requests since the start',
    'wagtailfork_retries': 'Second and later sends since the start',
    'wagtailfork_control_offset': 'Offset up to which the log is folded',
    'wagtailfork_control_age_seconds': 'Time since the log was read to its end',
    'wagtailfork_peers_up': 'Peers that answer heartbeats',
    'wagtailfork_claims_held': 'Idempotency keys held',
    'wagtailfork_pinned': 'Requests bound to the servers of an earlier copy',
    'wagtailfork_fingerprints': 'Request fingerprints under suspicion',
    'wagtailfork_connections_retired': 'Retirements of silent connections',
    'wagtailfork_traffic_dropped': 'Traffic summaries lost to long outages',
}


def render_metrics(node: MetricsNode, accept: list[str]) -> tuple[str, str]:
    """Return the metrics page and its content type."""
    registry = Registry()
    values = _read(node)
    for name, text in _GAUGES.items():
        gauge = Gauge(name, text, registry=registry)
        gauge.set({'vm': node.cfg.vm}, values[name])
    page, headers = render(registry, accept)
    return page.decode(), headers['Content-Type']


def _read(node: MetricsNode) -> dict[str, float]:
    return {
        'wagtailfork_in_flight': node.proxy_app.in_flight,
        'wagtailfork_queued': sum(node.admission.queued().values()),
        'wagtailfork_refusals': node.admission.refusals,
        'wagtailfork_hedges': node.hedger.hedges,
        'wagtailfork_retries': node.dispatcher.retries,
        'wagtailfork_control_offset': node.follower.state.offset,
        'wagtailfork_control_age_seconds': node.follower.age_s(),
        'wagtailfork_peers_up': len(node.mesh.up_links()),
        'wagtailfork_claims_held': sum(node.register.claim_counts().values()),
        'wagtailfork_pinned': node.placement.pinned,
        'wagtailfork_fingerprints': len(node.placement.quarantine),
        'wagtailfork_connections_retired': node.upstream.retirements,
        'wagtailfork_traffic_dropped': node.ledger.dropped,
    }
