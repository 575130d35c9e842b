"""Servers that limit the requests a second of all VMs together."""

import asyncio

import testtools

from ...core.clock import now_s
from ...standin.scripted_backend import ScriptedBackend
from .rig import Rig, run_scenario

LIMIT_PER_S = 4.0
# More than the servers can run, so that all of them are wanted.
CALLS_PER_S = 100.0
SERVICE_S = 0.1
SLOTS = 3
PLAY_S = 6.0
WINDOW_S = 4.0  # the users' window
SETTLED_S = 0.5  # after which each VM has had a response with the limit
# The users' bound: one and a half times the limit, and five requests.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5


class TestServerLimit(testtools.TestCase):
    """Several VMs send to servers that name a limit."""

    def test_requests_of_all_vms_exceed_no_limit(self) -> None:
        """The VMs together keep to the limit that each has heard."""
        run_scenario(self._play)

    async def _play(self, rig: Rig) -> None:
        await rig.start(backends=3, gateways=3)
        for backend in rig.backends.values():
            backend.service_s = SERVICE_S
            backend.slots = SLOTS
            rig.register(backend)
        limited = [rig.backends['b0'], rig.backends['b1']]
        for backend in limited:
            backend.limit_per_s = LIMIT_PER_S
        started_s = now_s()
        statuses = await _call_all(rig)
        for backend in limited:
            busiest = _busiest_window(backend, started_s + SETTLED_S)
            self.assertLessEqual(busiest, ALLOWED)
            self.assertGreaterEqual(busiest, LIMIT_PER_S * WINDOW_S / 2)
        self.assertEqual({200, 503}, set(statuses))


async def _call_all(rig: Rig) -> list[int]:
    calls = []
    for number in range(round(CALLS_PER_S * PLAY_S)):
        node = number % len(rig.nodes)
        call = rig.call('/look/1', f'r{number}', node=node)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(1 / CALLS_PER_S)
    return [response.status for response in await asyncio.gather(*calls)]


def _busiest_window(backend: ScriptedBackend, from_s: float) -> int:
    """Count the requests in the busiest window after a moment."""
    times = [req.at_s for req in backend.arrivals if req.at_s >= from_s]
    counts = [
        sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
        for start_s in times
    ]
    return max(counts, default=0)
