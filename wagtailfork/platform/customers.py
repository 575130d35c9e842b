"""Decode the customers of a configuration and their keys."""

import logging
from collections import Counter
from typing import Any, Final

import attrs

from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..routing.customers import MAX_KEY_BYTES, Customer, KeyTable
from .fields import (
    BRIEF,
    is_header_text,
    malformed,
    optional_rate,
    read_regions,
    require_number,
)

_ENTRY_ERRORS: Final = (
    AttributeError,
    OverflowError,
    TypeError,
    ValueError,
    WagtailforkError,
)
_MAX_RATE: Final = 1000000000  # a larger one is an error

_logger = logging.getLogger(__name__)


@attrs.define
class _Reader:
    """Read customers; log and count faults without quoting the entries."""

    regions: frozenset[str]
    counts: Counter[str] = attrs.field(factory=Counter)

    def record(self, fault: str, name: str, **pairs: Any) -> None:
        """Log one fault of a customer."""
        self.counts[fault] += 1
        log_warning(_logger, fault, customer=BRIEF.repr(name), **pairs)

    def read(self, name: str, fields: Any) -> tuple[Customer, list[str]] | None:
        """Return a customer with its usable keys; None if malformed."""
        try:
            customer = _read_customer(name, fields)
            keys = _read_keys(fields)
        except _ENTRY_ERRORS as exc:
            # The text of an error may quote the keys of the entry.
            self.record('customer_unreadable', name, why=type(exc).__name__)
            return None
        usable = [key for key in keys if _is_key(key)]
        if len(usable) < len(keys):
            count = len(keys) - len(usable)
            self.record('customer_key_unusable', name, keys=count)
        if not usable:
            self.record('customer_without_keys', name)
        unknown = customer.regions - self.regions
        if self.regions and unknown:
            # They stay, so that the customer is not served elsewhere.
            self.record('customer_region_unknown', name, regions=len(unknown))
        return customer, usable


def read_customers(
    document: dict[str, Any], regions: frozenset[str]
) -> KeyTable | None:
    """Decode the table of customers; leave out malformed ones.

    Without known ``regions`` those of the customers are not checked.
    """
    tenants = document.get('tenants')
    if tenants is None:
        return None
    if not isinstance(tenants, dict):
        raise malformed('tenants', type(tenants).__name__)
    reader = _Reader(regions)
    for repeated in sorted(getattr(tenants, 'repeated', ())):
        reader.record('customer_repeated', repeated)
    found = [reader.read(name, fields) for name, fields in tenants.items()]
    table = KeyTable(each for each in found if each is not None)
    for sharing in sorted(table.sharing):
        reader.record('customer_key_shared', sharing)
    table.faults = reader.counts
    return table


def _read_customer(name: str, fields: dict[str, Any]) -> Customer:
    # Backend servers are told the name in a header, which loses outer spaces.
    if not is_header_text(name) or name != name.strip():
        raise malformed('name', name)
    priority = fields.get('priority')
    return Customer(
        name=name,
        rank=None if priority is None else require_number(fields, 'priority'),
        requests_per_s=_read_rate(fields, 'ratePerS'),
        burst=_read_rate(fields, 'burst'),
        regions=read_regions(fields),
    )


def _read_rate(fields: dict[str, Any], key: str) -> float:
    rate = optional_rate(fields, key)
    if rate > _MAX_RATE:
        raise malformed(key, rate)
    return rate


def _read_keys(fields: dict[str, Any]) -> list[Any]:
    keys = fields.get('apiKeys')
    if keys is None:
        return []
    if not isinstance(keys, list):
        raise malformed('apiKeys', type(keys).__name__)
    return keys


def _is_key(key: Any) -> bool:
    # No request can carry any other key.
    if not isinstance(key, str) or not key.isprintable():
        return False
    # A lone surrogate, which has no encoding, is not printable.
    size = len(key.encode())
    return 0 < size <= MAX_KEY_BYTES and key == key.strip(' ')
