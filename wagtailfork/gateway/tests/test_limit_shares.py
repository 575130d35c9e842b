"""The limits of servers while VMs fail, join and hear different limits."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools

from ...routing.server_limit import NO_LIMIT
from .limit_scene import (
    DOMAINS,
    OBJECTIVE_S,
    SERVERS_PER_DOMAIN,
    WINDOW_S,
    Fleet,
)
from .virtual_time import run_virtual

LIMITS = (6.0, 3.0)  # requests a second, of the servers of each domain
PLAY_S = 15.0
EVENT_S = 5.0  # the moment of a fault
SETTLED_S = 4.0  # the users' bound holds from then on
SEEDS = (1, 2)

Event = Callable[[Fleet], Awaitable[None]]


async def _nothing(fleet: Fleet) -> None:
    """Let nothing happen."""


async def _kill(fleet: Fleet) -> None:
    fleet.kill(fleet.coordinator('a'))


async def _kill_two(fleet: Fleet) -> None:
    for _ in range(2):
        fleet.kill(fleet.coordinator('a'))
        await asyncio.sleep(2)


async def _freeze(fleet: Fleet) -> None:
    await fleet.freeze(fleet.coordinator('a'), 5)


async def _cut_off(fleet: Fleet) -> None:
    await fleet.cut_off(fleet.coordinator('a'), 6)


async def _stop(fleet: Fleet) -> None:
    vm = fleet.coordinator('a')
    fleet.stop(vm)
    await asyncio.sleep(3)
    fleet.kill(vm)


async def _replace_all(fleet: Fleet) -> None:
    for vm in list(fleet.vms.values()):
        fleet.start_ticking(fleet.add(vm.domain))
        fleet.stop(vm)
        await asyncio.sleep(0.5)
        fleet.kill(vm)


async def _join(fleet: Fleet) -> None:
    for domain in DOMAINS * 2:
        fleet.start_ticking(fleet.add(domain))
        await asyncio.sleep(0.5)


def _play(event: Event = _nothing, seed: int = 1, **fields: float) -> Fleet:
    """Play an event; return the fleet with what its servers got."""
    fleet = Fleet(seed=seed, **fields)  # type: ignore[arg-type]

    async def scene() -> None:
        for number, server in enumerate(fleet.servers.values()):
            server.set_limit(LIMITS[number % SERVERS_PER_DOMAIN])
        play = asyncio.create_task(fleet.play(PLAY_S))
        await asyncio.sleep(EVENT_S)
        await event(fleet)
        await play

    run_virtual(scene())
    return fleet


class TestLimitShares(testtools.TestCase):
    """The VMs of four failure domains want more than the limits allow."""

    def check(self, fleet: Fleet) -> None:
        """Check each window of each server against the users' bound."""
        for server in fleet.servers.values():
            excess = server.busiest_excess(SETTLED_S, PLAY_S)
            self.assertLessEqual(excess, 0, server.name)

    def play_and_check(self, event: Event, **fields: float) -> None:
        """Play an event with each seed and check the limits."""
        for seed in SEEDS:
            self.check(_play(event, seed, **fields))

    def test_limits_are_kept_and_used(self) -> None:
        """Without a fault, most of each limit is used, and no more."""
        fleet = _play()
        self.check(fleet)
        for server in fleet.servers.values():
            steady = [
                at_s
                for at_s, _ in server.arrivals
                if SETTLED_S <= at_s < PLAY_S
            ]
            rate = len(steady) / (PLAY_S - SETTLED_S)
            self.assertLessEqual(rate, 1.1 * server.limit_per_s)
            self.assertGreaterEqual(rate, 0.8 * server.limit_per_s)

    def test_coordinator_killed(self) -> None:
        """A new coordinator starts without the credit of the old one."""
        self.play_and_check(_kill)
        self.play_and_check(_kill_two)

    def test_coordinator_frozen(self) -> None:
        """VMs that cannot reach it choose no limited server."""
        self.play_and_check(_freeze)

    def test_coordinator_cut_off(self) -> None:
        """A VM that reaches the servers alone does not use the whole share."""
        self.play_and_check(_cut_off)

    def test_coordinator_stopped(self) -> None:
        """A planned stop moves the share to the next coordinator."""
        self.play_and_check(_stop)

    def test_all_vms_replaced(self) -> None:
        """New coordinators learn the limits before they send."""
        self.play_and_check(_replace_all)

    def test_vms_join(self) -> None:
        """A VM that joins may be the next coordinator."""
        self.play_and_check(_join)

    def test_lost_datagrams(self) -> None:
        """VMs that miss its answer choose no limited server."""
        self.play_and_check(_nothing, loss=0.2)
        self.play_and_check(_kill, loss=0.2)

    def test_callers_of_one_domain(self) -> None:
        """A domain that gets all requests keeps to the limits of all."""

        async def scene(fleet: Fleet) -> None:
            for server in fleet.servers.values():
                server.set_limit(LIMITS[0])
            vms = [vm for vm in fleet.vms.values() if vm.domain == 'a']
            await fleet.play(PLAY_S, vms)

        fleet = Fleet()
        run_virtual(scene(fleet))
        self.check(fleet)


class TestChangingLimits(testtools.TestCase):
    """Servers change their limits, or tell VMs different ones."""

    def play(self, after: float) -> Fleet:
        """Change the limit of all servers at the moment of the event."""

        async def change(fleet: Fleet) -> None:
            for server in fleet.servers.values():
                server.set_limit(after)

        return _play(change)

    def rate(self, fleet: Fleet, from_s: float) -> float:
        """Return the requests a second and server after a moment."""
        count = sum(
            from_s <= at_s < PLAY_S
            for server in fleet.servers.values()
            for at_s, _ in server.arrivals
        )
        return count / (PLAY_S - from_s) / len(fleet.servers)

    def check(self, fleet: Fleet) -> None:
        """Check each window of each server against the users' bound."""
        for server in fleet.servers.values():
            excess = server.busiest_excess(SETTLED_S, PLAY_S)
            self.assertLessEqual(excess, 0, server.name)

    def test_lowered(self) -> None:
        """A lower limit is kept at once."""
        self.check(self.play(after=1.5))

    def test_lowered_to_zero(self) -> None:
        """A limit of zero stops all but a rare trial."""
        fleet = self.play(after=0)
        self.check(fleet)
        self.assertLess(self.rate(fleet, EVENT_S + 1), 0.5)

    def test_raised(self) -> None:
        """A higher limit is used within a second or two."""
        fleet = self.play(after=12)
        self.check(fleet)
        self.assertGreater(self.rate(fleet, EVENT_S + 2), 0.8 * 12)

    def test_withdrawn(self) -> None:
        """Without a limit, all slots are used again."""
        fleet = self.play(after=NO_LIMIT)
        wanted = fleet.calls_per_s / len(fleet.servers)
        self.assertGreater(self.rate(fleet, EVENT_S + 2), 0.9 * wanted)

    def test_withdrawn_after_zero(self) -> None:
        """The end of a limit of zero is heard by a trial."""

        async def change(fleet: Fleet) -> None:
            for server in fleet.servers.values():
                server.set_limit(0)
            await asyncio.sleep(WINDOW_S)
            for server in fleet.servers.values():
                server.set_limit(NO_LIMIT)

        fleet = _play(change)
        self.assertGreater(self.rate(fleet, PLAY_S - 2), LIMITS[0])

    def test_vms_hear_different_limits(self) -> None:
        """The sum stays within the highest limit that any VM heard."""

        async def scene(fleet: Fleet) -> None:
            for server in fleet.servers.values():
                server.set_limit(LIMITS[0])
                for address in list(fleet.vms)[::2]:
                    server.other_limits[address] = LIMITS[1]
            await fleet.play(PLAY_S)

        fleet = Fleet()
        run_virtual(scene(fleet))
        self.check(fleet)

    def test_distant_servers_get_many_requests(self) -> None:
        """A server of another region gets more than one request at a time.

        The coordinator may never send one to it itself.
        """

        async def scene(fleet: Fleet) -> None:
            for server in fleet.servers.values():
                if server.domain in {'a', 'b'}:
                    server.set_limit(0)
            caller = next(
                vm
                for vm in fleet.vms.values()
                if vm.domain == 'a' and vm is not fleet.coordinator('a')
            )
            await fleet.play(PLAY_S, [caller])

        fleet = Fleet()
        run_virtual(scene(fleet))
        distant = [
            server.most_running
            for server in fleet.servers.values()
            if server.domain in {'c', 'd'}
        ]
        self.assertGreater(min(distant), 1)

    def test_requests_in_time(self) -> None:
        """What cannot be served under the limits is refused at once."""
        fleet = _play()
        self.assertGreater(fleet.refused, 0)
        self.assertLess(fleet.longest_refusal_s, OBJECTIVE_S)
