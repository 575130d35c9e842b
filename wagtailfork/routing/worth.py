"""The expected utility of a response from a backend server.

The utility is 1 for a response within the latency objective, ``LATE_UTILITY``
for a later one and 0 after the deadline. Costs are in the same unit.
"""

from typing import Final

import attrs

from .load import NEARLY_FULL_SHARE, FullLoadSlowdown, ServerLoad, SlowdownModel

MIN_OBJECTIVE_S: Final = 0.001  # a passed objective; utility divides by it
LATE_UTILITY: Final = 0.1  # users' rating, relative to a response in time
RESPONSE_TIME_SPREAD: Final = 0.25  # as a share of the expected response time
MIN_RESPONSE_TIME_SPREAD_S: Final = 0.002
# Utility lost for a response time of one objective; breaks ties.
LATENCY_COST: Final = 0.05
NEGLIGIBLE_PROBABILITY: Final = 0.01  # less likely cases are left out
COLD_SLOWDOWN: Final = 2.0  # factor on the service time


@attrs.frozen(kw_only=True)
class RequestProfile:
    """Describe one request; times are in seconds from now."""

    objective_s: float
    deadline_s: float
    service_s: float  # expected service time on an idle server
    kilobytes: float = 1.0

    def after(self, wait_s: float) -> 'RequestProfile':
        """Return the profile of the request after a wait."""
        return attrs.evolve(
            self,
            objective_s=max(MIN_OBJECTIVE_S, self.objective_s - wait_s),
            deadline_s=self.deadline_s - wait_s,
        )


@attrs.frozen(kw_only=True)
class Distance:
    """Describe the distance of a server: round trip and price of a kilobyte.

    ``reach`` names the class of the distance; ``min_gain`` is the least gain
    in utility that justifies using the server at all.
    """

    round_trip_s: float = 0.0005
    price_per_kb: float = 0.0
    min_gain: float = 0.0
    reach: str = 'domain'


@attrs.frozen
class Forecast:
    """Hold the expected wait, response time and utility of a response."""

    wait_s: float
    response_s: float
    utility: float


def predict(
    load: ServerLoad,
    profile: RequestProfile,
    distance: Distance,
    now: float,
    *,
    slowdown: SlowdownModel,
    full_load: FullLoadSlowdown,
    cold: bool = False,
) -> Forecast:
    """Forecast the response of one server.

    The last reported slowness counts with the confidence in the report; for
    the rest, the slowness of servers in general is assumed.

    >>> idle = ServerLoad(slots=4)
    >>> profile = RequestProfile(objective_s=0.2, deadline_s=1, service_s=0.05)
    >>> forecast = predict(
    ...     idle, profile, Distance(), now=0,
    ...     slowdown=SlowdownModel(), full_load=FullLoadSlowdown())
    >>> forecast.wait_s
    0.0
    """
    service_s = _nominal_service_s(
        load, profile, now, full_load=full_load, cold=cold
    )
    wait_s = _queue_wait_s(load, service_s, now)
    nominal_s = wait_s + service_s
    confidence = load.confidence(now)
    slowness = load.slowness(now)
    utility = 0.0
    if confidence > NEGLIGIBLE_PROBABILITY:
        utility += confidence * _utility(
            nominal_s * slowness, profile, distance
        )
    uncertainty = 1 - confidence
    if uncertainty > NEGLIGIBLE_PROBABILITY:
        utility += uncertainty * _utility_without_report(
            nominal_s, profile, distance, slowdown
        )
    response_s = nominal_s * (
        confidence * slowness + uncertainty * slowdown.mean()
    )
    response_s += distance.round_trip_s
    utility *= 1 - load.failing(now)
    utility -= _cost(response_s, profile, distance)
    return Forecast(wait_s, response_s, utility)


def _queue_wait_s(load: ServerLoad, service_s: float, now: float) -> float:
    """Return the wait for a slot if slots become free one after the other."""
    excess = load.estimated_requests(now) - load.slots + 1
    return max(0, excess) * service_s / load.slots


def _cost(
    response_s: float, profile: RequestProfile, distance: Distance
) -> float:
    cost = distance.price_per_kb * profile.kilobytes + distance.min_gain
    return cost + LATENCY_COST * response_s / profile.objective_s


def _utility_without_report(
    nominal_s: float,
    profile: RequestProfile,
    distance: Distance,
    slowdown: SlowdownModel,
) -> float:
    nominal = _utility(nominal_s, profile, distance)
    slow = _utility(nominal_s * slowdown.factor, profile, distance)
    return nominal + slowdown.share * (slow - nominal)


def _nominal_service_s(
    load: ServerLoad,
    profile: RequestProfile,
    now: float,
    *,
    full_load: FullLoadSlowdown,
    cold: bool,
) -> float:
    service_s = profile.service_s
    if cold:
        service_s *= COLD_SLOWDOWN
    if load.estimated_requests(now) + 1 > NEARLY_FULL_SHARE * load.slots:
        service_s *= full_load.factor
    return service_s


def expected_utility(response_s: float, profile: RequestProfile) -> float:
    """Return the expected utility of a response after ``response_s`` seconds.

    >>> profile = RequestProfile(objective_s=0.2, deadline_s=1, service_s=0.05)
    >>> (expected_utility(0.1, profile), expected_utility(0.5, profile),
    ...  expected_utility(5, profile))
    (1.0, 0.1, 0.0)
    """
    spread = RESPONSE_TIME_SPREAD * response_s + MIN_RESPONSE_TIME_SPREAD_S
    in_time = _probability(profile.objective_s - response_s, spread)
    if in_time == 1:
        return 1.0
    before_deadline = _probability(profile.deadline_s - response_s, spread)
    return in_time + LATE_UTILITY * max(0, before_deadline - in_time)


def _utility(
    service_s: float, profile: RequestProfile, distance: Distance
) -> float:
    return expected_utility(service_s + distance.round_trip_s, profile)


def _probability(margin_s: float, spread_s: float) -> float:
    """Return the probability of a margin above 0; 1 beyond two spreads."""
    probability = 0.5 + margin_s / (4 * spread_s)
    if probability >= 1:
        return 1.0
    return max(probability, 0.0)
