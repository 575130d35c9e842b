"""What sending a request to a backend server is worth to its caller."""

import math
from typing import Final

import attrs

from .load import ServerLoad

LATE_WORTH: Final = 0.1  # of an answer in time; the users' sheets say so
SPREAD: Final = 0.25  # of a service time around its expected value
FULL_SHARE: Final = 0.8  # of the slots, beyond which servers turn slower
FULL_SLOWDOWN: Final = 1.6
LATENCY_WEIGHT: Final = 0.05  # worth of a whole objective saved: breaks ties
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
    ahead: int = 0,
    cold: bool = False,
) -> Forecast:
    """Forecast an answer from one server, ``ahead`` others going first.

    >>> idle = ServerLoad(slots=4)
    >>> need = Need(objective_s=0.2, deadline_s=1, work_s=0.05)
    >>> predict(idle, need, Distance(), now=0).wait_s
    0.0
    """
    busy = load.busy(now) + ahead
    service_s = need.work_s * load.slowness(now)
    if cold:
        service_s *= COLD_SLOWDOWN
    if busy + 1 > FULL_SHARE * load.slots:
        service_s *= FULL_SLOWDOWN
    excess = busy - load.slots + 1
    wait_s = max(0, excess) * service_s / load.slots
    answer_s = wait_s + service_s + distance.round_trip_s
    good = 1 - load.failing(now)
    gained = good * worth_at(answer_s, service_s, need)
    gained -= distance.price_per_kb * need.kilobytes
    gained -= LATENCY_WEIGHT * answer_s / need.objective_s
    return Forecast(wait_s, answer_s, gained)


def worth_at(answer_s: float, service_s: float, need: Need) -> float:
    """Give the expected worth of an answer forecast for ``answer_s``."""
    spread = SPREAD * service_s + 0.002
    in_time = _chance(need.objective_s - answer_s, spread)
    at_all = _chance(need.deadline_s - answer_s, spread)
    return in_time + LATE_WORTH * max(0, at_all - in_time)


def _chance(margin_s: float, spread_s: float) -> float:
    scaled = max(-30.0, min(30.0, 1.7 * margin_s / spread_s))
    return 1 / (1 + math.exp(-scaled))
