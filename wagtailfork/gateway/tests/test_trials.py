"""Requests beside a crash go on; one that crashes its servers is bounded.

VMs exchange real messages over a simulated network in simulated time.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Final
from unittest import mock

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ...core.event_log import EventLog
from ...fleet.messages import Message, decode, encode
from ...routing.quarantine import Crash
from .. import trials
from ..trials import STRIKE_RESEND_DELAYS_S, Trials, delay_s
from ..witnesses import TOGETHER_S
from .virtual_time import run_virtual

DELAY_S: Final = 0.002  # between two VMs
WORK_S: Final = 0.07
SLOW_WORK_S: Final = 0.62
SERVED_AGAIN_S: Final = 6.0  # after the end of a crash
CRASH_S: Final = 0.005  # from the begin of a request that crashes its server
DETECTION_S: Final = 0.05
DOWN_S: Final = 4.5
SHORT_WAIT_S: Final = 0.0003
PAUSE_S: Final = 0.05
STABLE_S: Final = 4.0  # strikes are known at all VMs by then
ALLOWED_LATER: Final = 3  # retries later than that after the third crash
VMS: Final = 18
ZONES: Final = 4
SLOTS: Final = 4
POPULAR: Final = '00000abc'
CRASHING: Final = '0000dead'


@attrs.define
class Member:
    """Stand for a VM in a table of members."""

    address: str


@attrs.define(eq=False)
class Members:
    """List the VMs that a VM takes for alive."""

    scene: Any
    me: Member

    def alive(self, _now: float) -> list[Member]:
        """Return the other VMs that are reachable."""
        found = self.scene.reachable(self.me.address)
        return [Member(address) for address in found]

    def recent_count(self, _now: float, _within_s: float) -> int:
        """Count the VMs, whether they are reachable or not."""
        return len(self.scene.vms)


@attrs.define(eq=False)
class Server:
    """Run requests, and crash with all of them."""

    name: str
    started_ms: int = 1
    up: bool = True
    fell_s: float = -TOGETHER_S
    running: set['asyncio.Future[str]'] = attrs.field(factory=set)

    def crash(self, restart: Callable[[], None]) -> None:
        """Lose what is running."""
        self.up = False
        self.fell_s = asyncio.get_running_loop().time()
        for one in list(self.running):
            if not one.done():
                one.set_result('lost')
        asyncio.get_running_loop().call_later(DOWN_S, restart)

    def restart(self) -> None:
        """Start a new process."""
        self.up = True
        self.started_ms += 1


@attrs.define(eq=False)
class Scene:
    """Hold the VMs, the servers of one service, and what was seen."""

    servers: list[Server]
    vms: dict[str, Trials] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)  # VMs without the others
    deaf: set[str] = attrs.field(factory=set)  # VMs that understand nothing
    statuses: dict[str, Counter[str]] = attrs.field(factory=dict)
    arrivals: list[float] = attrs.field(factory=list)  # of crashing requests
    crashes: list[float] = attrs.field(factory=list)  # by them
    waits: list[float] = attrs.field(factory=list)
    returned: int = 0  # trials that proved nothing
    work_s: float = WORK_S
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))

    def add_vm(self, number: int) -> str:
        """Start a VM."""
        address = f'127.0.0.1:{number + 1}'
        self.vms[address] = Trials(
            membership=Members(self, Member(address)),  # type: ignore[arg-type]
            send=lambda message, to: self._send(address, message, to),
            log=EventLog(lines_per_s=0, vm=address),
        )
        return address

    def reachable(self, address: str) -> list[str]:
        """Return the VMs that another one can reach."""
        if address in self.cut:
            return []
        others = self.vms.keys() - self.cut - {address}
        return sorted(others)

    def _send(self, sender: str, message: Message, to: list[str]) -> None:
        raw = encode(message)
        loop = asyncio.get_running_loop()
        for address in to:
            loop.call_later(DELAY_S, self._deliver, sender, address, raw)

    def _deliver(self, sender: str, address: str, raw: bytes) -> None:
        if address in self.deaf:
            return
        if address in self.reachable(sender):
            self.vms[address].receive(decode(raw))

    async def send_request(
        self, address: str, fingerprint: str, *, crashing: bool = False
    ) -> str:
        """Serve a request at a VM; return how it ended."""
        vm = self.vms[address]
        admission = await vm.admit(fingerprint)
        if admission.wait_s is not None:
            self.waits.append(admission.wait_s)
            return 'refused'
        free = [
            one for one in self.servers if one.up and len(one.running) < SLOTS
        ]
        if not free:
            if admission.trial:
                vm.give_back(fingerprint, ran=False)
            return 'no_server'
        server = self.rng.choice(free)
        crash = Crash(server.name, server.started_ms)
        ended = await self._run(server, crashing=crashing)
        if ended == 'lost':
            await asyncio.sleep(DETECTION_S)
            if admission.trial and self._fell_beside(server):
                self.returned += 1
                vm.give_back(fingerprint, ran=True)
            else:
                vm.record_crash(fingerprint, crash, trial=admission.trial)
        elif vm.quarantine.is_suspect(fingerprint):
            vm.record_answer(fingerprint)
        return ended

    def _fell_beside(self, server: Server) -> bool:
        """Tell what the witnesses of a trial see."""
        return any(
            abs(one.fell_s - server.fell_s) < TOGETHER_S
            for one in self.servers
            if one is not server
        )

    async def _run(self, server: Server, *, crashing: bool) -> str:
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        server.running.add(future)
        if crashing:
            self.arrivals.append(loop.time())
            loop.call_later(CRASH_S, self._crash_by_request, server)
        else:
            loop.call_later(self.work_s, _answer, future)
        try:
            return str(await future)
        finally:
            server.running.discard(future)

    def _crash_by_request(self, server: Server) -> None:
        if server.up:
            self.crashes.append(asyncio.get_running_loop().time())
            server.crash(server.restart)

    async def play(
        self,
        seconds: float,
        *,
        popular: float = 0,
        crashing: float = 0,
        vms: list[str] | None = None,
    ) -> Counter[str]:
        """Send so many requests a second; count how the popular ones ended."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        seen: Counter[str] = Counter()
        tasks = [
            asyncio.ensure_future(
                self._callers(until_s, rate, seen, bad, vms or list(self.vms))
            )
            for rate, bad in ((popular, False), (crashing, True))
            if rate
        ]
        await asyncio.sleep(seconds)
        await asyncio.gather(*tasks)
        return seen

    async def _callers(
        self,
        until_s: float,
        rate: float,
        seen: Counter[str],
        crashing: bool,
        vms: list[str],
    ) -> None:
        loop = asyncio.get_running_loop()
        pending = set()
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(rate))
            address = self.rng.choice(vms)
            fingerprint = CRASHING if crashing else POPULAR
            task = asyncio.ensure_future(
                self.send_request(address, fingerprint, crashing=crashing)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
            if not crashing:
                task.add_done_callback(lambda one: seen.update([one.result()]))
        await asyncio.gather(*pending)

    def crash_in(self, seconds: float, servers: list[Server]) -> None:
        """Crash servers while requests run on them."""
        loop = asyncio.get_running_loop()
        for server in servers:
            loop.call_later(seconds, server.crash, server.restart)

    def later_arrivals(self) -> int:
        """Count crashing requests sent long after the third crash."""
        if len(self.crashes) < 3:
            return 0
        third_s = self.crashes[2]
        return sum(at > third_s + STABLE_S for at in self.arrivals)


def _answer(future: 'asyncio.Future[str]') -> None:
    if not future.done():
        future.set_result('answered')


def _make_scene(servers: int) -> Scene:
    scene = Scene([Server(f's{number}') for number in range(servers)])
    for number in range(VMS):
        scene.add_vm(number)
    return scene


def played(
    scenario: Callable[[Any, Scene], Awaitable[None]],
) -> Callable[[Any], None]:
    """Play a scenario in simulated time with 18 VMs and 16 servers."""

    def test(case: Any) -> None:
        run_virtual(play(case))

    async def play(case: Any) -> None:
        await scenario(case, _make_scene(16))

    test.__doc__ = scenario.__doc__
    return test


def one_trial() -> Any:
    """Put off all trials but the first beyond the end of a test."""
    return mock.patch.object(trials, 'TRIAL_DELAYS_S', (1.0, 60.0))


def _served(seen: Counter[str]) -> float:
    return seen['answered'] / seen.total()


class TestTrials(testtools.TestCase):
    """Both sides of the quarantine."""

    @played
    async def test_popular_path_beside_a_zone_crash(self, scene: Scene) -> None:
        """All VMs refused it for ten minutes."""
        scene.crash_in(2, scene.servers[::ZONES])
        await scene.play(5, popular=180)
        self.assertEqual(1, _served(await scene.play(5, popular=180)))

    @played
    async def test_popular_path_beside_a_whole_crash(
        self, scene: Scene
    ) -> None:
        """Nothing was sent any more that could clear it."""
        scene.crash_in(2, scene.servers)
        await scene.play(2 + DOWN_S + 3, popular=180)
        seen = await scene.play(5, popular=180)
        self.assertEqual(1, _served(seen))
        self.assertTrue(max(scene.waits) < STABLE_S)

    @played
    async def test_crashing_request(self, scene: Scene) -> None:
        """It may reach three servers long after its third crash."""
        await scene.play(240, crashing=3)
        self.assertTrue(3 <= len(scene.crashes) <= 5, scene.crashes)
        self.assertTrue(0 < scene.later_arrivals() <= ALLOWED_LATER)
        self.assertTrue(max(scene.waits) > 60)

    @played
    async def test_popular_path_beside_a_bad_request(
        self, scene: Scene
    ) -> None:
        """One bad request shut the most popular path of its service."""
        await scene.play(6, popular=180, crashing=3)
        seen = await scene.play(60, popular=180, crashing=3)
        self.assertTrue(_served(seen) > 0.98, seen)
        self.assertTrue(scene.later_arrivals() <= ALLOWED_LATER)

    @played
    async def test_zone_crash_beside_a_bad_request(self, scene: Scene) -> None:
        """Each of the two alone is told apart, so are both together."""
        scene.crash_in(1, scene.servers[::ZONES])
        await scene.play(7, popular=180, crashing=3)
        seen = await scene.play(60, popular=180, crashing=3)
        self.assertTrue(_served(seen) > 0.98, seen)
        self.assertTrue(scene.later_arrivals() <= ALLOWED_LATER)

    @played
    async def test_vm_that_joins(self, scene: Scene) -> None:
        """It sends nothing that the others refuse."""
        with one_trial():
            await scene.play(3, crashing=30)
            crashes = len(scene.crashes)
            late = scene.add_vm(VMS)
            scene.vms['127.0.0.1:1'].send_strikes(late)
            await asyncio.sleep(2 * DELAY_S)
            await scene.play(20, crashing=30, vms=[late])
        self.assertEqual(crashes, len(scene.crashes))
        await scene.play(300, crashing=3)
        self.assertTrue(scene.later_arrivals() <= ALLOWED_LATER)

    @played
    async def test_vm_that_comes_back_with_old_strikes(
        self, scene: Scene
    ) -> None:
        """What was absolved while it was cut off counts no more, anywhere."""
        away = '127.0.0.1:1'
        for server in scene.servers[:2]:
            crash = Crash(server.name, server.started_ms)
            scene.vms[away].record_crash(POPULAR, crash, trial=False)
        await asyncio.sleep(2 * DELAY_S)
        scene.cut.add(away)
        await scene.play(4, popular=180, vms=sorted(scene.vms.keys() - {away}))
        scene.cut.clear()
        scene.vms[away].send_strikes('127.0.0.1:2')
        await asyncio.sleep(2 * DELAY_S)
        seen = await scene.play(5, popular=180)
        self.assertTrue(_served(seen) > 0.98, seen)
        seen = await scene.play(5, popular=180, vms=[away])
        self.assertEqual(1, _served(seen))

    @played
    async def test_trials_without_an_outcome(self, scene: Scene) -> None:
        """One whose caller left shut the path for a minute or two."""
        first = next(iter(scene.vms.values()))
        for server in scene.servers[:2]:
            crash = Crash(server.name, server.started_ms)
            first.record_crash(POPULAR, crash, trial=False)
        loop = asyncio.get_running_loop()
        allowed_s: list[float] = []
        while len(allowed_s) < 3:
            await asyncio.sleep(PAUSE_S)
            admission = await first.admit(POPULAR)
            if admission.trial:
                allowed_s.append(loop.time())
                first.give_back(POPULAR, ran=True)
        self.assertTrue(allowed_s[1] - allowed_s[0] < 5)
        self.assertTrue(allowed_s[2] - allowed_s[1] < 10)
        await scene.play(17, popular=180)
        self.assertEqual(1, _served(await scene.play(2, popular=180)))

    @played
    async def test_short_wait_is_no_permission(self, scene: Scene) -> None:
        """A wait below half a millisecond was sent as none."""
        vms = list(scene.vms.values())
        for server in scene.servers[:2]:
            crash = Crash(server.name, server.started_ms)
            vms[0].record_crash(POPULAR, crash, trial=False)
        await asyncio.sleep(2 * DELAY_S)
        arbiter = vms[0]._arbiter(POPULAR)
        asker = next(one for name, one in scene.vms.items() if name != arbiter)
        wait_s = scene.vms[arbiter].quarantine.last_strike_s(POPULAR)
        wait_s += delay_s(POPULAR, 0) - asyncio.get_running_loop().time()
        await asyncio.sleep(wait_s - DELAY_S - SHORT_WAIT_S)
        asker._ask_again_at(POPULAR, 0)
        admission = await asker.admit(POPULAR)
        self.assertFalse(admission.trial)

    @played
    async def test_strikes_that_come_again(self, scene: Scene) -> None:
        """Messages that are repeated brought the refusal back."""
        first = next(iter(scene.vms.values()))
        for server in scene.servers[:2]:
            crash = Crash(server.name, server.started_ms)
            first.record_crash(POPULAR, crash, trial=False)
        await asyncio.sleep(2 * DELAY_S)
        first.record_answer(POPULAR)
        await asyncio.sleep(2 * STRIKE_RESEND_DELAYS_S[-1])
        for vm in scene.vms.values():
            self.assertFalse(vm.quarantine.is_suspect(POPULAR))

    @played
    async def test_cut_off_vms_have_trials_of_their_own(
        self, scene: Scene
    ) -> None:
        """A VM that sees no other decides alone, within the bound."""
        await scene.play(1, crashing=30)
        scene.cut.add('127.0.0.1:1')
        await scene.play(100, crashing=3)
        scene.cut.clear()
        await scene.play(100, crashing=3)
        self.assertTrue(scene.later_arrivals() <= ALLOWED_LATER)

    @played
    async def test_trial_beside_a_second_crash(self, scene: Scene) -> None:
        """Its path was refused for one to two minutes more."""
        scene.servers = scene.servers[:6]
        scene.work_s = SLOW_WORK_S
        scene.crash_in(2, scene.servers)
        # The trial is under way some 0.3 s after the servers are back.
        scene.crash_in(2 + DOWN_S + 0.75, scene.servers)
        await scene.play(2 * DOWN_S + SERVED_AGAIN_S, popular=8)
        self.assertTrue(scene.returned)
        self.assertEqual(1, _served(await scene.play(5, popular=8)))

    @given(
        servers=st.sampled_from((2, 6)),
        ups_s=st.lists(st.floats(0.1, 3), max_size=3),
        seed=st.integers(0, 99),
    )
    @settings(max_examples=25, deadline=None)
    def test_service_that_crashes_repeatedly(
        self, servers: int, ups_s: list[float], seed: int
    ) -> None:
        """A sound path is served some seconds after the last crash."""

        async def play() -> Counter[str]:
            scene = _make_scene(servers)
            scene.rng.seed(seed)
            scene.work_s = SLOW_WORK_S
            crash_s = 2.0
            for up_s in (0, *ups_s):
                crash_s += up_s
                scene.crash_in(crash_s, scene.servers)
                crash_s += DOWN_S
            # The delay is doubled for each trial that a crash took.
            await scene.play(
                crash_s + SERVED_AGAIN_S * 2 ** len(ups_s), popular=servers
            )
            return await scene.play(5, popular=servers)

        self.assertEqual(1, _served(run_virtual(play())))

    @given(
        servers=st.sampled_from((1, 2, 6)),
        zone_crashes_s=st.lists(st.floats(0, 100), max_size=4),
        seed=st.integers(0, 99),
    )
    @settings(max_examples=25, deadline=None)
    def test_crashing_request_is_bounded(
        self, servers: int, zone_crashes_s: list[float], seed: int
    ) -> None:
        """It reaches few servers, whatever else crashes beside it."""

        async def play() -> int:
            scene = _make_scene(servers)
            scene.rng.seed(seed)
            for crash_s in zone_crashes_s:
                scene.crash_in(crash_s, scene.servers[::ZONES])
            await scene.play(200, popular=servers, crashing=2)
            return scene.later_arrivals()

        self.assertTrue(run_virtual(play()) <= ALLOWED_LATER)

    @played
    async def test_arbiter_that_ends(self, scene: Scene) -> None:
        """The next one knows of the trials that failed."""
        with one_trial():
            await scene.play(4, crashing=30)
            crashes = len(scene.crashes)
            arbiter = next(iter(scene.vms.values()))._arbiter(CRASHING)
            scene.vms.pop(arbiter)
            await scene.play(30, crashing=30)
        self.assertEqual(crashes, len(scene.crashes))
        arbiter = next(iter(scene.vms.values()))._arbiter(CRASHING)
        scene.vms.pop(arbiter)
        await scene.play(300, crashing=3)
        self.assertTrue(scene.later_arrivals() <= ALLOWED_LATER)

    @played
    async def test_arbiter_that_does_not_answer(self, scene: Scene) -> None:
        """A VM of an earlier build kept a sound path refused until it ended."""
        arbiter = next(iter(scene.vms.values()))._arbiter(POPULAR)
        scene.deaf.add(arbiter)
        others = sorted(scene.vms.keys() - {arbiter})
        scene.crash_in(1, scene.servers)
        await scene.play(1 + DOWN_S + SERVED_AGAIN_S, popular=180, vms=others)
        seen = await scene.play(5, popular=180, vms=others)
        self.assertEqual(1, _served(seen))

    @played
    async def test_trial_that_is_not_sent(self, scene: Scene) -> None:
        """While no server is up, no trial is lost and few are asked for."""
        for server in scene.servers[:2]:
            crash = Crash(server.name, server.started_ms)
            scene.vms['127.0.0.1:1'].record_crash(POPULAR, crash, trial=False)
        for server in scene.servers:
            server.up = False
        seen = await scene.play(10, popular=180)
        self.assertTrue(0 < seen['no_server'] <= 10, seen)
        for server in scene.servers:
            server.up = True
        await scene.play(2, popular=180)
        self.assertEqual(1, _served(await scene.play(2, popular=180)))
