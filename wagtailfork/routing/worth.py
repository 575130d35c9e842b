"""What sending a request to a backend server is worth to its caller."""

import math
from typing import Final

import attrs

from .load import FULL_SHARE, Noise, ServerLoad

LATE_WORTH: Final = 0.1  # of an answer in time; the users' sheets say so
SPREAD: Final = 0.25  # of a service time around its expected value
FULL_SLOWDOWN: Final = 1.6
LATENCY_WEIGHT: Final = 0.05  # worth of a whole objective saved: breaks ties
NEGLIGIBLE: Final = 0.01  # chance of a case that is left out
COLD_SLOWDOWN: Final = 2.0


@attrs.frozen(kw_only=True)
class Need:
    """Say what one request needs; times in seconds from now."""

    objective_s: float
    deadline_s: float
    work_s: float  # expected service time on an idle server
    kilobytes: float = 1.0


@attrs.frozen(kw_only=True)
class Distance:
    """Say how far a server is: round trip in seconds, price of a kilobyte."""

    round_trip_s: float = 0.0005
    price_per_kb: float = 0.0


@attrs.frozen
class Forecast:
    """Say when an answer is expected and what that is worth."""

    wait_s: float
    answer_s: float
    worth: float


def predict(
    load: ServerLoad,
    need: Need,
    distance: Distance,
    now: float,
    *,
    noise: Noise,
    limit: int,
    cold: bool = False,
) -> Forecast:
    """Forecast an answer from one server that takes ``limit`` at once.

    A report counts as far as it is believed; the rest is what servers are
    like in general.

    >>> idle = ServerLoad(slots=4)
    >>> need = Need(objective_s=0.2, deadline_s=1, work_s=0.05)
    >>> predict(idle, need, Distance(), now=0, noise=Noise(), limit=4).wait_s
    0.0
    """
    work_s = need.work_s * (COLD_SLOWDOWN if cold else 1)
    busy = load.busy(now)
    if busy + 1 > FULL_SHARE * load.slots:
        work_s *= FULL_SLOWDOWN
    # A request that waits meets slots that are freed one after the other.
    wait_s = max(0, busy - limit + 1) * work_s / limit
    belief = load.belief(now)
    doubt = 1 - belief
    cases = (
        (belief, load.slowness(now)),
        (doubt * (1 - noise.share), 1.0),
        (doubt * noise.share, noise.factor),
    )
    gained = 0.0
    mean_s = 0.0
    for chance, slowness in cases:
        if chance < NEGLIGIBLE:
            continue
        service_s = work_s * slowness
        answer_s = wait_s * slowness + service_s + distance.round_trip_s
        gained += chance * worth_at(answer_s, service_s, need)
        mean_s += chance * answer_s
    gained *= 1 - load.failing(now)
    gained -= distance.price_per_kb * need.kilobytes
    gained -= LATENCY_WEIGHT * mean_s / need.objective_s
    return Forecast(wait_s, mean_s, gained)


def worth_at(answer_s: float, service_s: float, need: Need) -> float:
    """Give the expected worth of an answer forecast for ``answer_s``."""
    spread = SPREAD * service_s + 0.002
    in_time = _chance(need.objective_s - answer_s, spread)
    at_all = _chance(need.deadline_s - answer_s, spread)
    return in_time + LATE_WORTH * max(0, at_all - in_time)


def _chance(margin_s: float, spread_s: float) -> float:
    scaled = max(-30.0, min(30.0, 1.7 * margin_s / spread_s))
    return 1 / (1 + math.exp(-scaled))
