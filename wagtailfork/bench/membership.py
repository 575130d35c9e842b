"""Simulate the membership protocol of a fleet without a network."""

import random
from typing import Any, Final

import attrs

from ..fleet.member import Member, MemberRow
from ..fleet.members import HEARTBEAT_PERIOD_S, Membership
from ..fleet.messages import Heartbeat, HeartbeatRequest, encode
from ..fleet.telling import GossipSelector
from ..fleet.watch import FailureDetector

STEP_S: Final = 0.001  # simulation step and network delay


def make_member(domain: str, number: int, incarnation: int = 1) -> Member:
    """Return a member in a failure domain; a region holds two domains."""
    host = f'10.{ord(domain)}.0.{number}'
    return Member(
        address=f'{host}:7620',
        caller_address=f'{host}:8641',
        failure_domain=domain,
        region=str(ord(domain) // 2),
        incarnation=incarnation,
        ready=True,
    )


@attrs.define(eq=False)
class Vm:
    """Hold the membership protocol of one simulated VM."""

    membership: Membership
    gossip: GossipSelector
    failure_detector: FailureDetector
    next_heartbeat_at_s: float
    sent_datagrams: int = 0
    sent_bytes: int = 0
    lost: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class SimulatedFleet:
    """Simulate VMs with datagram loss, crashes, pauses and partitions."""

    seed: int = 1
    loss: float = 0.02
    now_s: float = 0
    vms: dict[str, Vm] = attrs.field(factory=dict)
    stopped: set[str] = attrs.field(factory=set)  # crashed or paused
    # These reach each other but none of the other VMs.
    partitioned: set[str] = attrs.field(factory=set)
    _rng: random.Random = attrs.field(init=False)
    _in_transit: list[tuple[float, str, str, Any]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Seed datagram loss and the random choices of the protocol."""
        self._rng = random.Random(self.seed)
        random.seed(self.seed)

    def start(self, *members: Member) -> None:
        """Start VMs that discover one another from a list."""
        for member in members:
            membership = Membership(member)
            self.vms[member.address] = Vm(
                membership,
                GossipSelector(membership),
                FailureDetector(membership),
                self.now_s + self._rng.random() * HEARTBEAT_PERIOD_S,
            )
        for member in members:
            vm = self.vms[member.address]
            # A member list has no incarnations, so a listed VM starts at 0.
            listed = [
                attrs.evolve(other.membership.me, incarnation=0)
                for other in self.vms.values()
            ]
            vm.membership.add_listed(listed, self.now_s)
            for receiver in vm.gossip.join_targets(listed):
                self._send(
                    vm, receiver.address, HeartbeatRequest(vm.membership.me)
                )

    def run(self, seconds: float) -> None:
        """Advance the simulation by a number of seconds."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._deliver()
            for address, vm in self.vms.items():
                if (
                    address not in self.stopped
                    and vm.next_heartbeat_at_s <= self.now_s
                ):
                    vm.next_heartbeat_at_s = self.now_s + HEARTBEAT_PERIOD_S
                    self._send_heartbeats(vm)

    def running_vms(self) -> list[Vm]:
        """Return the VMs that are running."""
        return [
            vm
            for address, vm in self.vms.items()
            if address not in self.stopped
        ]

    def alive_addresses(self, vm: Vm) -> set[str]:
        """Return the addresses that a VM lists as alive, including its own."""
        alive = vm.membership.alive(self.now_s)
        return {member.address for member in alive} | {vm.membership.me.address}

    def _send_heartbeats(self, vm: Vm) -> None:
        membership = vm.membership
        membership.advance()
        message = Heartbeat(vm.gossip.heartbeat_rows(self.now_s))
        for receiver in vm.gossip.heartbeat_targets(self.now_s):
            self._send(vm, receiver.address, message)
        overdue = vm.failure_detector.step(self.now_s)
        for suspect in overdue.to_probe:
            self._send(vm, suspect.address, HeartbeatRequest(membership.me))
        for failed in overdue.down:
            vm.lost.append(failed.address)
            self._broadcast(vm, Heartbeat([membership.me, failed]))

    def _broadcast(self, vm: Vm, message: Heartbeat) -> None:
        for neighbour in vm.membership.neighbours():
            self._send(vm, neighbour.address, message)

    def _send(self, vm: Vm, address: str, message: Any) -> None:
        vm.sent_datagrams += 1
        vm.sent_bytes += len(encode(message))
        sender = vm.membership.me.address
        if (sender in self.partitioned) != (address in self.partitioned):
            return
        if self._rng.random() >= self.loss:
            due_s = self.now_s + STEP_S
            self._in_transit.append((due_s, sender, address, message))

    def _deliver(self) -> None:
        due = [
            datagram
            for datagram in self._in_transit
            if datagram[0] <= self.now_s
        ]
        self._in_transit = [
            datagram
            for datagram in self._in_transit
            if datagram[0] > self.now_s
        ]
        for _, sender, address, message in due:
            if address in self.vms and address not in self.stopped:
                self._receive(self.vms[address], sender, message)

    def _receive(self, vm: Vm, sender: str, message: Any) -> None:
        membership = vm.membership
        if isinstance(message, HeartbeatRequest):
            is_new = not membership.is_known(message.member)
            membership.merge([message.member], self.now_s)
            rows: list[MemberRow] = [membership.me]
            if is_new:
                rows = vm.gossip.join_reply_rows()
            self._send(vm, sender, Heartbeat(rows))
        else:
            membership.merge(message.rows, self.now_s)
            if not membership.is_known(message.rows[0]):
                self._send(vm, sender, HeartbeatRequest(membership.me))
        if membership.disputed:
            membership.disputed = False
            membership.advance()
            self._broadcast(vm, Heartbeat([membership.me]))


def make_simulated_fleet(
    sizes: dict[str, int], **options: Any
) -> SimulatedFleet:
    """Return a started fleet after its membership has converged.

    >>> fleet = make_simulated_fleet({'a': 3, 'b': 2})
    >>> {len(fleet.alive_addresses(vm)) for vm in fleet.running_vms()}
    {5}
    """
    fleet = SimulatedFleet(**options)
    fleet.start(
        *[
            make_member(domain, number)
            for domain, size in sizes.items()
            for number in range(size)
        ]
    )
    fleet.run(4)
    return fleet
