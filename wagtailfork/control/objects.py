"""The kinds of object that operators create with change tickets."""

import re
from typing import Any, Final

import attrs

from ..core.address import split_address
from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.structure import parse_plain

ANY_CUSTOMER: Final = '*'

_NAME_PATTERN: Final = re.compile(r'^[a-z0-9][a-z0-9_.-]{0,62}$')
_MAX_SLOTS: Final = 10000
_POSITIVE: Any = attrs.validators.gt(0)


def _check_name(_owner: Any, _attribute: Any, text: str) -> None:
    if not _NAME_PATTERN.match(text):
        raise ValueError(f'invalid name {text!r}')


def _check_customer(owner: Any, attribute: Any, text: str) -> None:
    if text != ANY_CUSTOMER:
        _check_name(owner, attribute, text)


def _check_address(_owner: Any, _attribute: Any, text: str) -> None:
    try:
        split_address(text)
    except WagtailforkError as exc:
        raise ValueError(f'invalid address {text!r}') from exc


@attrs.frozen(kw_only=True)
class Service:
    """Describe one service and its retry and hedging policy."""

    once_methods: tuple[str, ...] = ('POST', 'PATCH')
    first_byte_s: float = attrs.field(default=2.0, validator=_POSITIVE)
    retry_percent: float = attrs.field(
        default=10.0,
        validator=attrs.validators.and_(
            attrs.validators.ge(0),
            attrs.validators.le(100),
        ),
    )
    hedge_percent: float = attrs.field(
        default=0.0,
        validator=attrs.validators.and_(
            attrs.validators.ge(0),
            attrs.validators.le(20),
        ),
    )


@attrs.frozen(kw_only=True)
class Backend:
    """Describe one backend server of a service."""

    service: str = attrs.field(validator=_check_name)
    address: str = attrs.field(validator=_check_address)
    region: str = attrs.field(validator=_check_name)
    failure_domain: str = attrs.field(validator=_check_name)
    slots: int = attrs.field(
        default=4,
        validator=attrs.validators.and_(
            attrs.validators.ge(1),
            attrs.validators.le(_MAX_SLOTS),
        ),
    )
    draining: bool = False


@attrs.frozen(kw_only=True)
class Customer:
    """Describe one customer and its weight under contention."""

    weight: float = attrs.field(default=1.0, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class Limit:
    """Limit one customer's call rate to one service, over all entry VMs."""

    customer: str = attrs.field(validator=_check_name)
    service: str = attrs.field(validator=_check_name)
    calls_per_s: float = attrs.field(validator=_POSITIVE)
    burst: float = attrs.field(default=1.0, validator=attrs.validators.ge(1))


@attrs.frozen(kw_only=True)
class Rule:
    """Allow one customer, or all, to call a service's backend servers."""

    customer: str = attrs.field(validator=_check_customer)
    service: str = attrs.field(validator=_check_name)
    failure_domains: tuple[str, ...] = ()


ControlObject = Service | Backend | Customer | Limit | Rule

OBJECT_TYPES: Final[dict[str, type[Any]]] = {
    'service': Service,
    'backend': Backend,
    'customer': Customer,
    'limit': Limit,
    'rule': Rule,
}


def check_object_id(kind: str, name: str) -> None:
    """Raise ``ticket_malformed`` on an unknown kind or an invalid name.

    >>> check_object_id('customer', 'kartolina')
    """
    if kind not in OBJECT_TYPES:
        raise WagtailforkError(
            ResultCode.ticket_malformed, f'unknown object kind {kind!r}'
        )
    if not _NAME_PATTERN.match(name):
        raise WagtailforkError(
            ResultCode.ticket_malformed, f'invalid object name {name!r}'
        )


def parse_object(kind: str, state: Any) -> ControlObject:
    """Build an object of one kind or raise ``ticket_malformed``.

    >>> parse_object('customer', {'weight': 2}).weight
    2.0
    """
    return parse_plain(state, OBJECT_TYPES[kind], ResultCode.ticket_malformed)


def references(item: ControlObject) -> tuple[tuple[str, str], ...]:
    """Return kind and name of each object that this one refers to.

    >>> references(Rule(customer='*', service='stockd'))
    (('service', 'stockd'),)
    """
    found: list[tuple[str, str]] = []
    service = getattr(item, 'service', None)
    customer = getattr(item, 'customer', None)
    if service is not None:
        found.append(('service', service))
    if customer is not None and customer != ANY_CUSTOMER:
        found.append(('customer', customer))
    return tuple(found)
