"""Changes made while the store does not answer the VMs that read it."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

import attrs
import testtools

from ...fleet.member import rendezvous_rank
from ...tests.relay import Relay
from ..node import GatewayNode
from .rig import CONFIG_TOPIC, SERVERS_TOPIC, Rig, make_config

# The users' bound for a change to be in force, and for a server to get no more
# requests once it drains.
IN_FORCE_S: Final = 2.5
REGIONS: Final = {'a': 'r', 'b': 'r'}
VMS_PER_DOMAIN: Final = 4
SETTLED_S: Final = 2.5  # longer than any poll
MOMENTS_S: Final = (0.0, 0.45, 0.9)  # of the disruption, after the last change


@attrs.define(eq=False)
class _Fleet:
    """Run gateways that each reach the store through a relay of their own."""

    rig: Rig
    relays: dict[str, Relay] = attrs.field(factory=dict)

    async def start(self) -> None:
        await self.rig.start(gateways=0)
        port = int(self.rig.store_address.rpartition(':')[2])
        for domain in REGIONS:
            for number in range(VMS_PER_DOMAIN):
                relay = Relay(port)
                await relay.start()
                node = self.rig.add_gateway(
                    f'{domain}{number}',
                    failure_domain=domain,
                    regions=REGIONS,
                    store_address=f'127.0.0.1:{relay.port}',
                )
                self.relays[node.cfg.vm] = relay
        await self.rig.until(self.rig.all_connected)
        await self.rig.until(lambda: len(self.readers()) == len(REGIONS))
        await asyncio.sleep(SETTLED_S)

    def readers(self) -> list[GatewayNode]:
        return [node for node in self.rig.nodes if node.source.reads_store]

    def silence_readers(self, count: int) -> list[GatewayNode]:
        """Stop responding to the first VMs to read; return the other VMs."""
        served = []
        for node in self.rig.nodes:
            if _rank(node) < count:
                self.relays[node.cfg.vm].stop_responding()
            else:
                served.append(node)
        return served


class TestUnansweredReaders(testtools.TestCase):
    """VMs that the store serves act on a change in time."""

    def test_change_while_readers_get_no_answer(self) -> None:
        """The first reader of each domain gets no answer from the store."""
        _run_at_each_moment(1, _change_configuration)

    def test_change_while_successors_get_no_answer(self) -> None:
        """Neither do the two VMs that take over first."""
        _run_at_each_moment(3, _change_configuration)

    def test_drain_while_readers_get_no_answer(self) -> None:
        """No VM that the store serves uses a server that drains."""
        _run_at_each_moment(1, _drain_server)


def _rank(node: GatewayNode) -> int:
    """Return the place of a VM in the order in which its domain reads."""
    others = [one.address for one in node.membership.neighbours()]
    return rendezvous_rank('store-reader', node.cfg.fleet_address, others)


def _change_configuration(rig: Rig) -> Callable[[GatewayNode], bool]:
    version = max(node.view.version for node in rig.nodes) + 1
    rig.store.put(CONFIG_TOPIC, 'config', make_config(version))
    return lambda node: node.view.version == version


def _drain_server(rig: Rig) -> Callable[[GatewayNode], bool]:
    rig.register(rig.backends['b0'], seq=9, state='draining')
    return lambda node: node.view.servers['b0'].draining


def _run_at_each_moment(
    count: int, change: Callable[[Rig], Callable[[GatewayNode], bool]]
) -> None:
    for moment_s in MOMENTS_S:
        asyncio.run(_run_disrupted(count, moment_s, change))


async def _run_disrupted(
    count: int,
    moment_s: float,
    change: Callable[[Rig], Callable[[GatewayNode], bool]],
) -> None:
    rig = Rig()
    fleet = _Fleet(rig)
    try:
        await fleet.start()
        # All readers start their polls anew after a change.
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2))
        rig.store.put(SERVERS_TOPIC, 'other', b'{}')
        await rig.until(lambda: all(one.view.version == 2 for one in rig.nodes))
        await asyncio.sleep(moment_s)
        served = fleet.silence_readers(count)
        is_applied = change(rig)
        acknowledged_s = time.monotonic()
        await rig.until(lambda: all(is_applied(node) for node in served))
        delay_s = time.monotonic() - acknowledged_s
        if delay_s > IN_FORCE_S:
            raise AssertionError(
                f'applied after {delay_s:.2f} s, silenced {count} VMs of each'
                f' domain {moment_s} s after a change'
            )
    finally:
        for relay in fleet.relays.values():
            await relay.close()
        await rig.stop()
