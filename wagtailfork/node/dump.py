"""The state dump of an entry VM."""

import time
from typing import Any, Protocol

from ..claims.register import ClaimRegister
from ..control.follower import Follower
from ..core.settings import EntrySettings
from ..core.structure import render_plain
from ..peers.mesh import Mesh
from ..proxy.app import ProxyApp
from ..proxy.dispatcher import Dispatcher
from ..proxy.hedger import Hedger
from ..routing.admission import Admission
from ..routing.placement import Placement
from ..routing.pool import Pool
from ..routing.upstream import Upstream
from .lending import SlotLending
from .vm_list import VmListFollower


class DumpableNode(Protocol):
    """List the parts of a node that the dump reads."""

    cfg: EntrySettings
    incarnation: str
    state: str
    started_at: float
    follower: Follower
    vm_list: VmListFollower
    mesh: Mesh
    register: ClaimRegister
    pool: Pool
    upstream: Upstream
    admission: Admission
    placement: Placement
    dispatcher: Dispatcher
    hedger: Hedger
    proxy_app: ProxyApp
    lending: SlotLending | None


def dump_node(node: DumpableNode) -> dict[str, Any]:
    """Return a node's state for operators, as plain values."""
    return {
        'vm': node.cfg.vm,
        'incarnation': node.incarnation,
        'phase': node.state,
        'uptime_s': round(time.monotonic() - node.started_at, 3),
        'control': _dump_control(node),
        'peers': _dump_peers(node),
        'ranges': _dump_ranges(node),
        'endpoints': _dump_endpoints(node),
        'dealers': node.lending.dealers_by_service() if node.lending else {},
        'admission': {
            'queued': node.admission.queued(),
            'refusals': node.admission.refusals,
            'retries': node.dispatcher.retries,
            'hedges': node.hedger.hedges,
        },
        'quarantined': len(node.placement.quarantine),
        'unanswered': len(node.placement.unanswered),
        'pinned': node.placement.pinned,
        'in_flight': node.proxy_app.in_flight,
        'connections_retired': node.upstream.retirements,
    }


def _dump_control(node: DumpableNode) -> dict[str, Any]:
    follower = node.follower
    age_s = follower.age_s()
    vm_list_age_s = time.monotonic() - node.vm_list.read_at
    return {
        'ready': follower.ready,
        'in_gap': follower.in_gap,
        'offset': follower.state.offset,
        'age_s': _rounded(age_s),
        'vm_list_age_s': _rounded(vm_list_age_s),
        'objects': len(follower.state.objects),
    }


def _rounded(age_s: float) -> float | None:
    return None if age_s == float('inf') else round(age_s, 3)


def _dump_peers(node: DumpableNode) -> list[dict[str, Any]]:
    peers = []
    for link in node.mesh.links():
        last_heartbeat = link.last_heartbeat
        peers.append(
            {
                'address': link.address,
                'state': link.state,
                'vm': link.peer.vm if link.peer else None,
                'incarnation': link.peer.incarnation if link.peer else None,
                'phase': last_heartbeat.phase if last_heartbeat else None,
                'offset': last_heartbeat.offset if last_heartbeat else None,
            }
        )
    return peers


def _dump_ranges(node: DumpableNode) -> dict[str, Any]:
    claim_counts = node.register.claim_counts()
    views = node.follower.state.views
    return {
        range_id: {'keys': claim_counts.get(range_id), **render_plain(view)}
        for range_id, view in views.items()
    }


def _dump_endpoints(node: DumpableNode) -> list[dict[str, Any]]:
    return [
        {
            'name': each.name,
            'address': each.backend.address,
            'state': each.state,
            'in_flight': each.in_flight,
            'allowance': each.allowance(),
            'held': each.held,
            'latency_ms': round(each.latency_s * 1000, 3),
        }
        for each in node.pool.all_endpoints()
    ]
