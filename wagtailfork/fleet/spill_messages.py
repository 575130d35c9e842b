"""Messages between the coordinators of a service in different domains."""

from functools import singledispatch
from typing import Any, Final

import attrs

from .placement_codec import PLACEMENT_PARSERS, render_placement
from .placement_messages import PlacementRequest
from .wire_values import as_address, as_count, as_number, as_text

_WANT_KIND: Final = 30
_OFFER_KIND: Final = 31
_REFERRAL_KIND: Final = 32
_ANSWER_KIND: Final = 33
_US_PER_S: Final = 1_000_000


@attrs.frozen(kw_only=True)
class SpillWant:
    """Request offers for a service that needs more slots than its own."""

    sender: str
    domain: str
    service: str
    wanted: int  # slots


@attrs.frozen(kw_only=True)
class SpillOffer:
    """Offer a number of requests until the next offer."""

    sender: str
    domain: str
    service: str
    requests: int
    wait_s: float = 0  # expected for a slot


@attrs.frozen
class Referral:
    """Forward a placement request; the grant goes to the VM that asked."""

    coordinator: str  # that refers it
    request: PlacementRequest


@attrs.frozen(kw_only=True)
class ReferralAnswer:
    """Report whether a referred request got a slot."""

    sender: str  # VM of the request
    number: int  # of the request
    granted: bool


SpillMessage = SpillWant | SpillOffer | Referral | ReferralAnswer


@singledispatch
def render_spill(message: SpillMessage) -> list[Any]:
    """Return the wire form of a message, its kind first."""
    raise TypeError(f'no wire form of {type(message).__name__}')


@render_spill.register
def _(message: SpillWant) -> list[Any]:
    return [
        _WANT_KIND,
        message.sender,
        message.domain,
        message.service,
        message.wanted,
    ]


@render_spill.register
def _(message: SpillOffer) -> list[Any]:
    return [
        _OFFER_KIND,
        message.sender,
        message.domain,
        message.service,
        message.requests,
        round(message.wait_s * _US_PER_S),
    ]


@render_spill.register
def _(message: Referral) -> list[Any]:
    return [
        _REFERRAL_KIND,
        message.coordinator,
        *render_placement(message.request),
    ]


@render_spill.register
def _(message: ReferralAnswer) -> list[Any]:
    return [
        _ANSWER_KIND,
        message.sender,
        message.number,
        int(message.granted),
    ]


def _parse_want(parts: list[Any]) -> SpillWant:
    return SpillWant(
        sender=as_address(parts[0]),
        domain=as_text(parts[1]),
        service=as_text(parts[2]),
        wanted=as_count(parts[3]),
    )


def _parse_offer(parts: list[Any]) -> SpillOffer:
    return SpillOffer(
        sender=as_address(parts[0]),
        domain=as_text(parts[1]),
        service=as_text(parts[2]),
        requests=as_count(parts[3]),
        wait_s=as_count(parts[4]) / _US_PER_S,
    )


def _parse_referral(parts: list[Any]) -> Referral:
    coordinator, kind, *request = parts
    parsed = PLACEMENT_PARSERS[kind](request)
    if not isinstance(parsed, PlacementRequest):
        raise TypeError(f'referral of a {type(parsed).__name__}')
    return Referral(as_address(coordinator), parsed)


def _parse_answer(parts: list[Any]) -> ReferralAnswer:
    return ReferralAnswer(
        sender=as_address(parts[0]),
        number=as_number(parts[1]),
        granted=bool(as_count(parts[2])),
    )


SPILL_PARSERS: Final[dict[int, Any]] = {
    _WANT_KIND: _parse_want,
    _OFFER_KIND: _parse_offer,
    _REFERRAL_KIND: _parse_referral,
    _ANSWER_KIND: _parse_answer,
}
