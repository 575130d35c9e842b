"""Describe why a request ended as it did, from its events."""

from collections.abc import Iterable
from typing import Final

from .lines import LogLine

_FINAL_EVENTS: Final = frozenset(
    ('answered', 'broken_off', 'caller_left', 'failed', 'refused')
)
_REFUSAL_CAUSES: Final = {
    'no_room': 'the queue was too long for it to be answered in time',
    'late': 'it could not be answered in time while others still could',
    'queue_full': 'the queue of its service was full',
    'no_server': 'no server of its service was known or left to try',
    'shed': 'each server that was tried reported that it was full',
    'other_server': 'another server answered at the address of each tried',
    'connect_failed': 'no connection to the servers tried could be opened',
    'not_serving': 'this VM had no configuration or no servers yet',
    'unknown_service': 'no route of the current configuration matches it',
    'customer_key_missing': 'it had no key and its route needs one',
    'customer_key_unknown': 'no customer of the configuration has its key',
    'customer_key_repeated': 'it had more than one key',
    'no_common_region': 'no region may serve both its route and customer',
    'configuration_stale': 'this VM could not rule out a newer configuration',
    'quarantined': 'requests like it have crashed two servers',
    'deadline_passed': 'its deadline passed before a server was free',
    'server_barred': 'its server stopped being allowed before it was sent',
    'stopping': 'this VM was stopping and could have been cut off with it',
}
_SEND_CAUSES: Final = {
    'answer_lost': '{server} received it, but its answer was lost: {why}',
    'answer_bad': 'the answer of {server} was invalid: {why}',
    'server_refused': '{server} answered {status}, stating that it did not run',
    'second_copy': 'a second copy was sent, as {first} was slow',
}
_SLOW_FACTOR: Final = 2.0  # of the usual time; a slower server is reported


def find_causes(
    events: list[LogLine],
    related: Iterable[LogLine],
) -> tuple[str, ...]:
    """Return the causes; the one of the final event comes first.

    If callers used the id more than once, all final events come first.
    """
    finals = [line for line in reversed(events) if line.event in _FINAL_EVENTS]
    if not finals:
        return (_describe_unfinished(events), *_count_server_events(related))
    admitted = sum(line.event == 'admitted' for line in events)
    if admitted <= 1:
        finals = finals[:1]
    causes = [_DESCRIBE_BY_EVENT[line.event](line, events) for line in finals]
    if admitted > 1:
        causes.append(f'{admitted} requests had this id')
    elif finals[0].event == 'answered':
        causes.extend(_describe_latency(finals[0], events))
    causes.extend(_describe_sends(events))
    causes.extend(_count_server_events(related))
    return tuple(causes)


def _describe_refusal(final: LogLine, _events: list[LogLine]) -> str:
    reason = final.fields.get('why', '')
    return f'refused: {_REFUSAL_CAUSES.get(reason, reason)}'


def _describe_failure(final: LogLine, _events: list[LogLine]) -> str:
    reason = final.fields.get('why', '')
    if reason == 'deadline_passed':
        return 'failed: a server got it but did not answer before the deadline'
    return f'failed: it may have run, but its answer is not known ({reason})'


def _describe_answer(final: LogLine, events: list[LogLine]) -> str:
    objective_ms = events[0].read_float('objective_ms')
    took_ms = final.read_float('ms') or 0
    status = final.fields.get('status', '')
    if objective_ms is None or took_ms <= objective_ms:
        return f'answered with {status} after {took_ms:.0f} ms'
    return (
        f'answered with {status} late: {took_ms:.0f} ms, '
        f'objective {objective_ms:.0f} ms'
    )


def _describe_broken_answer(final: LogLine, _events: list[LogLine]) -> str:
    reason = final.fields.get('why', '')
    return f'its answer ended before it was complete: {reason}'


def _describe_caller_left(_final: LogLine, _events: list[LogLine]) -> str:
    return 'the caller closed its connection before it got an answer'


_DESCRIBE_BY_EVENT: Final = {
    'answered': _describe_answer,
    'broken_off': _describe_broken_answer,
    'caller_left': _describe_caller_left,
    'failed': _describe_failure,
    'refused': _describe_refusal,
}


def _describe_unfinished(events: list[LogLine]) -> str:
    last = events[-1]
    return (
        f'no final event was logged: {last.vm} stopped or dropped log lines '
        f'after {last.event}'
    )


def _describe_latency(final: LogLine, events: list[LogLine]) -> list[str]:
    took_ms = final.read_float('ms')
    sent = [line for line in events if line.event == 'sent']
    if not sent or took_ms is None:
        return []
    last = sent[-1]
    waited_ms = last.read_float('waited_ms') or 0
    causes = [
        f'{waited_ms:.0f} ms passed before the last send, '
        f'{took_ms - waited_ms:.0f} ms after it'
    ]
    slowness = last.read_float('slowness') or 1
    if slowness >= _SLOW_FACTOR:
        server = last.fields.get('server')
        causes.append(f'{server} was rated {slowness:.1f} times slower')
    return causes


def _describe_sends(events: list[LogLine]) -> list[str]:
    causes = []
    for line in events:
        template = _SEND_CAUSES.get(line.event)
        if template is None:
            continue
        causes.append(
            template.format(
                server=line.fields.get('server'),
                why=line.fields.get('why', ''),
                status=line.fields.get('status'),
                first=line.fields.get('first'),
            )
        )
    return causes


def _count_server_events(related: Iterable[LogLine]) -> list[str]:
    """Count the related events of each server, except its listing."""
    counts: dict[tuple[str, str], int] = {}
    for line in related:
        server = line.fields.get('server')
        if server is not None and line.event != 'server_listed':
            key = (server, line.event)
            counts[key] = counts.get(key, 0) + 1
    return [
        f'in the same period: {event} {count} times at {server}'
        for (server, event), count in sorted(counts.items())
    ]
