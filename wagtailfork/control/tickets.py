"""Numbered change tickets, each with the full new state of its objects."""

import hashlib
import json
from typing import Any, Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.structure import parse_plain
from .objects import ControlObject, check_object_id, parse_object

MAX_TICKET_BYTES: Final = 1048576
_DIGEST_CHARS: Final = 32

ObjectId = tuple[str, str]  # kind and name


@attrs.frozen(kw_only=True)
class TicketObject:
    """Hold one object's full new state; ``None`` removes the object."""

    kind: str
    name: str
    state: Any = None


@attrs.frozen(kw_only=True)
class TicketBody:
    """Hold a ticket as submitted by an operator."""

    ticket: int = attrs.field(validator=attrs.validators.ge(1))
    operator: str
    objects: list[TicketObject] = attrs.field(
        validator=attrs.validators.min_len(1),
    )


@attrs.frozen(kw_only=True)
class Ticket:
    """Hold a validated ticket."""

    number: int
    operator: str
    digest: str
    objects: tuple[tuple[ObjectId, ControlObject | None], ...]


def canonical_digest(raw: Any) -> str:
    """Return a digest of plain JSON values that ignores key order.

    >>> one = canonical_digest({'a': 1, 'b': 2})
    >>> one == canonical_digest({'b': 2, 'a': 1})
    True
    """
    text = json.dumps(raw, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_CHARS]


def parse_ticket(raw: Any) -> Ticket:
    """Parse and validate a ticket or raise ``ticket_malformed``.

    >>> raw = {'ticket': 1, 'operator': 'ana', 'objects': [
    ...     {'kind': 'service', 'name': 'stockd', 'state': {}}]}
    >>> parse_ticket(raw).number
    1
    """
    body = parse_plain(raw, TicketBody, ResultCode.ticket_malformed)
    objects: dict[ObjectId, ControlObject | None] = {}
    for item in body.objects:
        ident = (item.kind, item.name)
        if ident in objects:
            raise WagtailforkError(
                ResultCode.ticket_malformed, f'duplicate object {ident}'
            )
        objects[ident] = _parse_state(item)
    return Ticket(
        number=body.ticket,
        operator=body.operator,
        digest=canonical_digest(raw),
        objects=tuple(sorted(objects.items(), key=lambda pair: pair[0])),
    )


def _parse_state(item: TicketObject) -> ControlObject | None:
    check_object_id(item.kind, item.name)
    if item.state is None:
        return None
    return parse_object(item.kind, item.state)
