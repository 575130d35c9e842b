"""The metrics page of a gateway, rendered on request."""

import math
from collections.abc import Mapping
from itertools import accumulate
from typing import Any, Final

import attrs
from aioprometheus import Counter, Gauge, Registry, render
from aioprometheus.collectors import Histogram as HistogramFamily
from aioprometheus.histogram import Histogram as Aggregate

from ..core.clock import now_s
from .meters import BOUNDS_S, Histogram, Meters
from .metrics_source import MetricsSource

_REQUESTS: Final = 'Requests of callers by how they ended'
_ANSWERS: Final = 'Answers of servers by status and what they state'
_DENIALS: Final = 'Own responses with a status of 3xx or 4xx'
_LATENCY: Final = 'Seconds from a request to its end'


@attrs.frozen
class _Table:
    name: str
    doc: str
    label: str
    counts: Mapping[str, int]


def render_metrics(node: MetricsSource, accept: list[str]) -> tuple[bytes, str]:
    """Return the metrics page and its content type."""
    registry = Registry()
    _add_counts(node, registry)
    _add_answers(node.meters, registry)
    _add_denials(node.meters, registry)
    _add_latency(node.meters, registry)
    for name, doc, found in _gauges(node):
        Gauge(name, doc, registry=registry).set({}, found)
    _add_customer_faults(node, registry)
    _add_queues(node, registry)
    _add_allowances(node, registry)
    page, headers = render(registry, accept)
    return page, headers['Content-Type']


def _add_counts(node: MetricsSource, registry: Registry) -> None:
    meters = node.meters
    ended = Counter('wagtailfork_requests', _REQUESTS, registry=registry)
    for (service, route, outcome), count in meters.requests.items():
        labels = {'service': service, 'route': route, 'outcome': outcome}
        ended.set(labels, count)
    for table in _tables(meters):
        _add_table(table, registry)


def _add_answers(meters: Meters, registry: Registry) -> None:
    family = Counter('wagtailfork_answers', _ANSWERS, registry=registry)
    for kind, count in meters.answers.items():
        family.set(attrs.asdict(kind, value_serializer=_label), count)


def _add_denials(meters: Meters, registry: Registry) -> None:
    family = Counter('wagtailfork_denials', _DENIALS, registry=registry)
    for (status, why), count in meters.denials.items():
        family.set({'status': str(status), 'why': why}, count)


def _label(_owner: Any, _attribute: Any, found: Any) -> str:
    return str(found).lower()


def _add_table(table: _Table, registry: Registry) -> None:
    family = Counter(table.name, table.doc, registry=registry)
    for label_value, count in table.counts.items():
        family.set({table.label: label_value}, count)


def _tables(meters: Meters) -> list[_Table]:
    return [
        _Table('wagtailfork_refusals', 'Refused', 'why', meters.refusals),
        _Table('wagtailfork_key_refused', 'Keys', 'why', meters.key_refusals),
        _Table(
            'wagtailfork_quota_refused',
            'Over the quota',
            'customer',
            meters.quota_refused,
        ),
        _Table('wagtailfork_retries', 'Resent', 'service', meters.retries),
        _Table(
            'wagtailfork_referred',
            'Requests referred to other domains',
            'outcome',
            meters.referrals,
        ),
        _Table(
            'wagtailfork_snapshots',
            'Sent to VMs by form of the configuration',
            'configuration',
            meters.snapshots,
        ),
        _Table('wagtailfork_copies', 'Copies', 'service', meters.hedges),
        _Table(
            'wagtailfork_moved_bytes', 'Bodies', 'reach', meters.moved_bytes
        ),
    ]


def _add_latency(meters: Meters, registry: Registry) -> None:
    family = HistogramFamily(
        'wagtailfork_latency_seconds',
        _LATENCY,
        registry=registry,
    )
    for service, histogram in meters.latency.items():
        family.set_value({'service': service}, _aggregate(histogram))


def _aggregate(histogram: Histogram) -> Aggregate:
    """Convert the counts to the cumulative counts of the page."""
    found = Aggregate(*BOUNDS_S)
    counts = accumulate(histogram.counts)
    found.buckets = dict(zip(found.buckets, counts, strict=True))
    found.observations = sum(histogram.counts)
    found.sum = histogram.total
    return found


def _gauges(node: MetricsSource) -> list[tuple[str, str, float]]:
    now = now_s()
    usage = node.source.usage
    view = node.view
    age_s = node.age.age_s(now)
    limited = sum(one.limit.is_named for _, one in node.backends.candidates())
    return [
        ('wagtailfork_config_version', 'Version in force', view.version),
        (
            'wagtailfork_config_age_seconds',
            'Since the configuration changed',
            now - view.configured_at_s,
        ),
        (
            'wagtailfork_servers_age_seconds',
            'Since the table of servers changed',
            now - view.changed_at_s,
        ),
        ('wagtailfork_servers', 'Servers known', len(view.servers)),
        (
            'wagtailfork_evacuated_domains',
            'Failure domains to which nothing is sent',
            len(view.evacuations.domains),
        ),
        ('wagtailfork_vms', 'VMs alive', node.membership.count(now)),
        (
            'wagtailfork_config_confirmed_age_seconds',
            'Since the configuration was known to be the newest, -1: never',
            -1 if math.isinf(age_s) else age_s,
        ),
        (
            'wagtailfork_configuration_stale',
            'Requests refused for that age',
            node.meters.stale_refusals,
        ),
        ('wagtailfork_reading', 'Follows the store', node.source.reads_store),
        (
            'wagtailfork_store_read_age_seconds',
            'Since both topics were read',
            now - node.source.read_at_s,
        ),
        ('wagtailfork_store_era', 'Named by the store', usage.era),
        ('wagtailfork_store_calls', 'Calls to the store', usage.calls),
        ('wagtailfork_store_read_bytes', 'Read there', usage.read_bytes),
        ('wagtailfork_store_sent_bytes', 'Written there', usage.written_bytes),
        ('wagtailfork_fleet_bytes', 'Sent to VMs', node.link.sent_bytes),
        ('wagtailfork_probes', 'Health checks', node.prober.probes),
        (
            'wagtailfork_connections',
            'Opened to servers',
            node.pool.opened_count,
        ),
        (
            'wagtailfork_repeated_ids',
            'Connections replaced, as none idle could carry the id',
            node.pool.repeated_ids,
        ),
        ('wagtailfork_limited_servers', 'Servers that name a limit', limited),
        ('wagtailfork_log_left_out', 'Lines left out', node.log.dropped_lines),
    ]


def _add_customer_faults(node: MetricsSource, registry: Registry) -> None:
    cfg = node.view.configuration
    if cfg is None or cfg.customers is None:
        return
    faults = Gauge(
        'wagtailfork_customer_faults',
        'Of the entries of customers in force',
        registry=registry,
    )
    for why, count in cfg.customers.faults.items():
        faults.set({'why': why}, count)


def _add_queues(node: MetricsSource, registry: Registry) -> None:
    waiting = Gauge('wagtailfork_waiting', 'In queues', registry=registry)
    sends = Gauge('wagtailfork_in_flight', 'Own sends', registry=registry)
    for service, queue in node.backends.queues.items():
        waiting.set({'service': service}, queue.waiting)
        own = sum(
            one.load.own_in_flight for one in queue.table.servers.values()
        )
        sends.set({'service': service}, own)


def _add_allowances(node: MetricsSource, registry: Registry) -> None:
    spent = Gauge(
        'wagtailfork_retries_spent',
        'Of the allowance, 0 to 1',
        registry=registry,
    )
    now = now_s()
    vm_count = node.membership.known_count()
    for service in node.backends.queues:
        used = node.allowances.of(service).used(now, vm_count)
        spent.set({'service': service}, used)
