"""Policies that choose among the endpoints that can take a request."""

import random
from collections.abc import Sequence
from functools import singledispatch

import attrs

from .endpoint import Endpoint


@attrs.frozen
class RandomChoice:
    """Choose at random."""


@attrs.frozen
class LeastInFlight:
    """Choose the endpoint with the fewest own requests per slot."""


@attrs.frozen
class TwoChoices:
    """Choose the less loaded of two random endpoints, by own requests."""


@attrs.frozen
class TwoChoicesReported:
    """Choose the less loaded of two random endpoints, by reported load."""


Policy = RandomChoice | LeastInFlight | TwoChoices | TwoChoicesReported


def relative_load(endpoint: Endpoint) -> float:
    """Return own requests in flight per slot."""
    return endpoint.in_flight / endpoint.backend.slots


@singledispatch
def choose(
    policy: object,
    endpoints: Sequence[Endpoint],
    rng: random.Random,
) -> Endpoint:
    """Choose one of a non-empty sequence of endpoints."""
    raise TypeError(f'unknown load balancing policy: {policy!r}')


@choose.register
def _choose_random(
    policy: RandomChoice,
    endpoints: Sequence[Endpoint],
    rng: random.Random,
) -> Endpoint:
    return rng.choice(endpoints)


@choose.register
def _choose_least(
    policy: LeastInFlight,
    endpoints: Sequence[Endpoint],
    rng: random.Random,
) -> Endpoint:
    lowest = min(relative_load(each) for each in endpoints)
    ties = [each for each in endpoints if relative_load(each) == lowest]
    return rng.choice(ties)


@choose.register
def _choose_two(
    policy: TwoChoices,
    endpoints: Sequence[Endpoint],
    rng: random.Random,
) -> Endpoint:
    pair = rng.sample(endpoints, min(2, len(endpoints)))
    return min(pair, key=relative_load)


@choose.register
def _choose_two_reported(
    policy: TwoChoicesReported,
    endpoints: Sequence[Endpoint],
    rng: random.Random,
) -> Endpoint:
    pair = rng.sample(endpoints, min(2, len(endpoints)))
    return min(pair, key=lambda each: each.reported_load)
