"""Check a history of answers against the backend servers' run records."""

import collections
import hashlib
from typing import Any

import attrs

from .rig_tools import Reply


@attrs.frozen
class Send:
    """Record one send of one key and what the caller was told."""

    key: str
    body: bytes
    request_id: str
    reply: Reply


def find_false_refusals(
    gets: list[Send],
    runs: list[dict[str, Any]],
) -> list[str]:
    """List the repeatable requests that ran and were called 'not run'."""
    ran = {run['request_id'] for run in runs}
    return [
        f'{send.request_id} ran after code {send.reply.code}'
        for send in gets
        if send.reply.kind == 'not-run' and send.request_id in ran
    ]


def find_violations(
    sends: list[Send],
    runs: list[dict[str, Any]],
) -> list[str]:
    """List what breaks 'at most once', 'not run' or 'its own answer'."""
    counts = collections.Counter(run['key'] for run in runs if run['key'])
    found = [f'{key} ran {n} times' for key, n in counts.items() if n > 1]
    for send in sends:
        if send.reply.kind == 'not-run' and counts[send.key]:
            found.append(f'{send.key} ran after code {send.reply.code}')
        if send.reply.kind == 'ran':
            found.extend(_check_answer(send, sends))
    return found


def _check_answer(send: Send, sends: list[Send]) -> list[str]:
    if send.reply.code == 3002:
        return []
    raw = send.reply.json()
    digest = hashlib.sha256(send.body).hexdigest()
    mine = {other.request_id for other in sends if other.key == send.key}
    found = []
    if raw['request_id'] not in mine or raw['body_digest'] != digest:
        found.append(f'{send.key} got the answer of {raw["request_id"]}')
    if send.reply.headers.get('x-request-id') != send.request_id:
        found.append(f'{send.request_id} was echoed wrongly')
    return found
