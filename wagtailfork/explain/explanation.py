"""Collect a request's events, related events and the causes of its ending."""

from collections.abc import Iterable
from typing import Final

import attrs

from .causes import find_causes
from .lines import LogLine

# Before and after the request, to include the failures of its servers.
RELATED_PERIOD_S: Final = 2.0
MAX_RELATED_LINES: Final = 40
_SERVER_EVENTS: Final = frozenset(
    (
        'answer_bad',
        'answer_lost',
        'connect_failed',
        'connections_retired',
        'probe_failed',
        'server_lapsed',
        'server_listed',
        'server_unlisted',
    )
)
_VM_EVENTS: Final = frozenset(
    (
        'configuration_in_force',
        'leaving',
        'lines_left_out',
        'started',
        'stopped',
        'store_lost',
        'store_reached',
    )
)


@attrs.frozen
class Explanation:
    """Hold a request's events, related events, and the causes."""

    events: tuple[LogLine, ...]
    related: tuple[LogLine, ...]
    causes: tuple[str, ...]


def explain_request(lines: Iterable[LogLine], request_id: str) -> Explanation:
    """Collect the log lines of one request and find the causes of its ending.

    >>> from .lines import parse_line
    >>> line = parse_line('at=1.0 vm=a event=refused id=r why=late')
    >>> explanation = explain_request([line], 'r')
    >>> explanation.causes[0]
    'refused: it could not be answered in time while others still could'
    """
    ordered = sorted(lines, key=lambda line: line.at_s)
    events = [line for line in ordered if line.fields.get('id') == request_id]
    if not events:
        return Explanation((), (), ('no line has this id',))
    related = _find_related(ordered, events)
    return Explanation(tuple(events), related, find_causes(events, related))


def _find_related(
    ordered: list[LogLine],
    events: list[LogLine],
) -> tuple[LogLine, ...]:
    servers = {line.fields.get('server') for line in events} - {None}
    vms = {line.vm for line in events}
    begin_s = events[0].at_s - RELATED_PERIOD_S
    end_s = events[-1].at_s + RELATED_PERIOD_S
    found = []
    for line in ordered:
        if line in events or not begin_s <= line.at_s <= end_s:
            continue
        if _is_related(line, servers, vms):
            found.append(line)
    return tuple(found[:MAX_RELATED_LINES])


def _is_related(line: LogLine, servers: set[str | None], vms: set[str]) -> bool:
    if line.event in _SERVER_EVENTS:
        return line.fields.get('server') in servers
    return line.event in _VM_EVENTS and line.vm in vms
