"""Records of the operators that evacuate a failure domain."""

import logging
from collections.abc import Iterable, Mapping
from typing import Final

from ..core.logs import log_warning
from ..fleet.position import Position
from ..gateway.evacuations import Evacuations
from .store import KeyedRecord

_PREFIX: Final = 'evacuate/'
_MAX_NAME_CHARS: Final = 128  # far beyond any name of a domain

_logger = logging.getLogger(__name__)


def apply_evacuations(
    evacuations: Evacuations,
    records: Iterable[KeyedRecord],
    era: int,
    source: str,
) -> None:
    """Apply the records that begin or end an evacuation."""
    for record in records:
        domain = _read_domain(record.key)
        if domain:
            evacuations.apply_record(
                domain,
                Position(era, record.offset + 1),
                source,
                evacuated=bool(record.payload),
            )


def list_evacuated(records: Mapping[str, bytes]) -> list[str]:
    """Return the evacuated domains of a full listing.

    >>> list_evacuated({'evacuate/a': b'1', 'evacuate/b': b'', 'config': b'c'})
    ['a']
    """
    named = (_read_domain(key) for key, raw in records.items() if raw)
    return [domain for domain in named if domain]


def _read_domain(key: str) -> str:
    """Return the domain that a key names, empty if it names none."""
    if not key.startswith(_PREFIX):
        return ''
    domain = key.removeprefix(_PREFIX)
    if domain and domain.isprintable() and len(domain) <= _MAX_NAME_CHARS:
        return domain
    log_warning(_logger, 'evacuation_unreadable', key=key[:_MAX_NAME_CHARS])
    return ''
