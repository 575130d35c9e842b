"""Compare the limits of a fleet with one bucket that counts every call."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ...control.objects import Limit
from ..fairness import TokenBucket
from ..limits import MIN_BURST_CALLS, FleetLimits

NAME = 'clerk-stockd'
PAIR = ('clerk', 'stockd')
RATE = 200.0
BURST = 10.0
VMS = 15
STEP_S = 0.001
HEARTBEAT_S = 0.5
SETTLED_S = 3.0  # six heartbeats
END_S = 9.0
MAX_EXCESS = 1.1  # of the limit
MIN_SHARE = 0.8  # of what one bucket would admit

weights = st.lists(st.integers(0, 9), min_size=VMS, max_size=VMS).filter(any)


class LimitsTest(testtools.TestCase):
    """Test the limits of fifteen entry VMs."""

    @settings(max_examples=20, derandomize=True, deadline=None, database=None)
    @given(weights, st.sampled_from((0.5, 1.5, 10.0)))
    def test_fleet_keeps_to_the_limit(
        self,
        parts: list[int],
        load: float,
    ) -> None:
        """Admit nearly as much as one bucket, however calls are spread."""
        fleet, central = admit(parts, load)
        burst = BURST + VMS * MIN_BURST_CALLS
        allowed = RATE * (END_S - SETTLED_S) * MAX_EXCESS + burst
        self.assertLessEqual(fleet, allowed)
        self.assertGreaterEqual(fleet, central * MIN_SHARE)

    def test_partitioned_peers_keep_their_part(self) -> None:
        """Keep the part of a listed peer during a partition."""
        limits = make_limits()
        peers = [{NAME: RATE}]
        taken = 0
        for step in range(round(END_S / STEP_S)):
            now = step * STEP_S
            limits.adjust(peers, now)
            taken += limits.take(*PAIR, now=now)
        # This VM's demand is five times the limit, its peer's is the limit.
        self.assertLessEqual(taken, RATE * END_S * 5 / 6 * MAX_EXCESS + BURST)


def make_limits() -> FleetLimits:
    """Create one VM's limits."""
    limit = Limit(
        customer=PAIR[0],
        service=PAIR[1],
        calls_per_s=RATE,
        burst=BURST,
    )
    limits = FleetLimits()
    limits.replace({NAME: limit})
    return limits


def admit(parts: list[int], load: float) -> tuple[int, int]:
    """Count the calls that a fleet and one bucket admit in steady state."""
    rng = random.Random(1)
    fleet = [make_limits() for _ in parts]
    central = TokenBucket(RATE, BURST)
    reported: list[dict[str, float]] = [{} for _ in parts]
    counts = [0, 0]
    for step in range(round(END_S / STEP_S)):
        now = step * STEP_S
        for index, limits in enumerate(fleet):
            peers = reported[:index] + reported[index + 1 :]
            limits.adjust(peers, now)
        if step % round(HEARTBEAT_S / STEP_S) == 0:
            reported = [limits.demands() for limits in fleet]
        if rng.random() >= load * RATE * STEP_S:
            continue
        limits = rng.choices(fleet, parts)[0]
        taken = (limits.take(*PAIR, now=now), central.take(now))
        if now >= SETTLED_S:
            counts = [counts[0] + taken[0], counts[1] + taken[1]]
    return counts[0], counts[1]
