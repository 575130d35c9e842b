"""Messages about requests that may have crashed backend servers."""

from functools import singledispatch
from typing import Any, Final

import attrs

from ..routing.quarantine import Crash
from .wire_values import (
    as_address,
    as_count,
    as_digest,
    as_text,
    render_digest,
)

_STRIKE_KIND: Final = 3
_REQUEST_KIND: Final = 40
_DECISION_KIND: Final = 41
_RETURN_KIND: Final = 42
_ABSOLUTION_KIND: Final = 43
MAX_CRASHES: Final = 32  # in one message
_STRIKE_FIELDS: Final = 2  # that builds without trials send


@attrs.frozen
class Strike:
    """Report that a request crashed a backend server."""

    fingerprint: str
    server: str
    started_ms: int = 0  # of the process that crashed
    trial: bool = False  # whether the request was sent as a trial


@attrs.frozen
class TrialRequest:
    """Ask whether a quarantined request may be sent once more."""

    sender: str
    fingerprint: str
    crashes: tuple[Crash, ...]


@attrs.frozen
class TrialDecision:
    """Allow a trial now, or name the time until the next one may be asked for.

    Nothing of it holds if the request is no longer in quarantine.
    """

    fingerprint: str
    wait_ms: int


@attrs.frozen
class TrialReturn:
    """Report that a trial told nothing about the request."""

    fingerprint: str
    ran: bool  # a server may have run it, and survived


@attrs.frozen
class Absolution:
    """Report that a request was answered, so that these strikes don't count."""

    fingerprint: str
    crashes: tuple[Crash, ...]


TrialMessage = Strike | TrialRequest | TrialDecision | TrialReturn | Absolution


@singledispatch
def render_trial(message: Any) -> list[Any]:
    """Return the wire form.

    >>> render_trial(Absolution('00000005', (Crash('a', 7),)))
    [43, 5, ['a', 7]]
    """
    raise TypeError(f'no wire form of {type(message).__name__}')


@render_trial.register
def _(message: Strike) -> list[Any]:
    row = [_STRIKE_KIND, render_digest(message.fingerprint), message.server]
    return [*row, message.started_ms, message.trial]


@render_trial.register
def _(message: TrialRequest) -> list[Any]:
    row = [_REQUEST_KIND, message.sender, render_digest(message.fingerprint)]
    return [*row, *_render_crashes(message.crashes)]


@render_trial.register
def _(message: TrialDecision) -> list[Any]:
    digest = render_digest(message.fingerprint)
    return [_DECISION_KIND, digest, message.wait_ms]


@render_trial.register
def _(message: TrialReturn) -> list[Any]:
    return [_RETURN_KIND, render_digest(message.fingerprint), message.ran]


@render_trial.register
def _(message: Absolution) -> list[Any]:
    crashes = _render_crashes(message.crashes)
    return [_ABSOLUTION_KIND, render_digest(message.fingerprint), *crashes]


def _render_crashes(crashes: tuple[Crash, ...]) -> list[list[Any]]:
    return [[one.server, one.started_ms] for one in crashes[-MAX_CRASHES:]]


def _parse_crashes(rows: list[Any]) -> tuple[Crash, ...]:
    return tuple(
        Crash(as_text(server), as_count(started_ms))
        for server, started_ms in rows[:MAX_CRASHES]
    )


def _parse_strike(parts: list[Any]) -> Strike:
    fingerprint, server, *rest = parts
    strike = Strike(as_digest(fingerprint), as_text(server))
    if len(parts) == _STRIKE_FIELDS:
        return strike
    started_ms, trial = rest
    return attrs.evolve(
        strike, started_ms=as_count(started_ms), trial=bool(trial)
    )


def _parse_request(parts: list[Any]) -> TrialRequest:
    sender, fingerprint, *crashes = parts
    return TrialRequest(
        as_address(sender), as_digest(fingerprint), _parse_crashes(crashes)
    )


def _parse_decision(parts: list[Any]) -> TrialDecision:
    fingerprint, wait_ms = parts
    return TrialDecision(as_digest(fingerprint), as_count(wait_ms))


def _parse_return(parts: list[Any]) -> TrialReturn:
    fingerprint, ran = parts
    return TrialReturn(as_digest(fingerprint), bool(ran))


def _parse_absolution(parts: list[Any]) -> Absolution:
    fingerprint, *crashes = parts
    return Absolution(as_digest(fingerprint), _parse_crashes(crashes))


TRIAL_PARSERS: Final[dict[int, Any]] = {
    _STRIKE_KIND: _parse_strike,
    _REQUEST_KIND: _parse_request,
    _DECISION_KIND: _parse_decision,
    _RETURN_KIND: _parse_return,
    _ABSOLUTION_KIND: _parse_absolution,
}
