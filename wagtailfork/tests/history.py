"""Check the replies that callers got against the servers' run records."""

import collections
import hashlib
from typing import Any

import attrs

from .rig_tools import Reply


@attrs.frozen
class SentRequest:
    """Record one sent request and the caller's reply."""

    key: str
    body: bytes
    request_id: str
    reply: Reply


def find_false_refusals(
    gets: list[SentRequest],
    runs: list[dict[str, Any]],
) -> list[str]:
    """Return the repeatable requests that ran but got the result 'not-run'."""
    ran = {run['request_id'] for run in runs}
    return [
        f'{send.request_id} ran after code {send.reply.code}'
        for send in gets
        if send.reply.kind == 'not-run' and send.request_id in ran
    ]


def find_violations(
    sends: list[SentRequest],
    runs: list[dict[str, Any]],
) -> list[str]:
    """Return the violations of the guarantees for requests with a key.

    A key runs at most once, a request with the result 'not-run' has not run,
    and each reply belongs to its request.
    """
    counts = collections.Counter(run['key'] for run in runs if run['key'])
    found = [f'{key} ran {n} times' for key, n in counts.items() if n > 1]
    for send in sends:
        if send.reply.kind == 'not-run' and counts[send.key]:
            found.append(f'{send.key} ran after code {send.reply.code}')
        if send.reply.kind == 'ran':
            found.extend(_check_answer(send, sends))
    return found


def _check_answer(send: SentRequest, sends: list[SentRequest]) -> list[str]:
    if send.reply.code == 3002:
        return []
    raw = send.reply.json()
    digest = hashlib.sha256(send.body).hexdigest()
    same_key = {other.request_id for other in sends if other.key == send.key}
    found = []
    if raw['request_id'] not in same_key or raw['body_digest'] != digest:
        found.append(f'{send.key} got the answer of {raw["request_id"]}')
    if send.reply.headers.get('x-request-id') != send.request_id:
        found.append(f'{send.request_id}: reply has another x-request-id')
    return found
