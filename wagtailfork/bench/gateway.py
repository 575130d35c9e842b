"""Measure how the costs of a gateway grow, for docs/CAPACITY.md."""

import json
import time
import tracemalloc
from typing import Final

from ..fleet.configuration_delta import apply_delta, render_delta
from ..fleet.member import short_row
from ..fleet.members import Membership
from ..fleet.messages import Heartbeat, decode, encode
from ..fleet.position import NO_EDITION, NO_POSITION, Position
from ..fleet.snapshots import pack, parse_snapshot, render_snapshot
from ..gateway.view import View
from ..platform.documents import decode_configuration, decode_server
from ..routing.candidate import Candidate
from ..routing.load import LoadReport, ServerLoad
from ..routing.queued_request import QueuedRequest
from ..routing.server_table import ServerTable
from ..standin.documents import make_configuration, make_entry
from .measurements import Measurement, make_measurement, time_us
from .membership import make_member, make_simulated_fleet
from .placements import measure_placements

SERVER_COUNTS: Final = (1000, 4000, 14000)
SERVICE_SIZES: Final = (7, 20, 100)
DOMAIN_SIZES: Final = (5, 28, 60, 120)  # VMs of the failure domain under test
DOMAIN_COUNT: Final = 18
FLEET_SIZES: Final = (100, 1000, 7320)  # VMs in all failure domains
ROUTE_COUNTS: Final = (10, 400, 1400, 4000)
SETTLE_S: Final = 30.0  # until gossip about the start has ended
OBSERVATION_S: Final = 10.0
_FEW_REPEATS: Final = 20
_MANY_REPEATS: Final = 2000


def measure_view(size: int) -> list[Measurement]:
    """Measure the server table and its snapshots at one size."""
    table = {f'i-{index:08x}': make_entry(index) for index in range(size)}
    tracemalloc.start()
    view = View(decode_configuration, decode_server)
    position = Position(1, size)
    view.replace_servers(table, position, 'bench')
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    no_change = view.snapshot(NO_EDITION, position)
    changed = Position(1, size + 1)
    view.apply_server('i-00000001', make_entry(8), changed, 'bench')
    one_change = view.snapshot(NO_EDITION, position)
    whole = view.snapshot(NO_EDITION, NO_POSITION)
    return [
        make_measurement('table of servers', size, used_bytes, 'bytes'),
        make_measurement(
            'whole snapshot', size, len(render_snapshot(whole)), 'bytes'
        ),
        make_measurement(
            'one change', size, len(render_snapshot(one_change)), 'bytes'
        ),
        make_measurement(
            'no change', size, len(render_snapshot(no_change)), 'bytes'
        ),
        make_measurement(
            'read a whole snapshot',
            size,
            time_us(lambda: parse_snapshot(render_snapshot(whole)), 1),
            'us',
        ),
        make_measurement(
            'decode an entry',
            size,
            time_us(lambda: decode_server('a', make_entry(1)), _FEW_REPEATS),
            'us',
        ),
    ]


def measure_configuration(routes: int) -> list[Measurement]:
    """Measure decoding a configuration with ``routes`` routes."""
    raw = make_configuration(routes)
    spent_us = time_us(lambda: decode_configuration(raw), 1)
    return [
        make_measurement('configuration', routes, len(raw), 'bytes'),
        make_measurement('decode a configuration', routes, spent_us, 'us'),
    ]


def measure_delta(routes: int) -> list[Measurement]:
    """Measure what a change of one route costs with ``routes`` routes."""
    before = make_configuration(routes)
    document = json.loads(before)
    document['version'] += 1
    changed = list(document['routes'])[routes // 2]
    document['routes'][changed]['timeoutMs'] += 1
    after = json.dumps(document).encode()
    delta = render_delta(NO_EDITION, before, after)
    assert delta is not None  # noqa: S101
    make_us = time_us(
        lambda: render_delta(NO_EDITION, before, after), _FEW_REPEATS
    )
    apply_us = time_us(
        lambda: apply_delta(delta, NO_EDITION, before), _FEW_REPEATS
    )
    return [
        make_measurement('whole, packed', routes, len(pack(after)), 'bytes'),
        make_measurement('delta of one route', routes, len(delta), 'bytes'),
        make_measurement('make it', routes, make_us, 'us'),
        make_measurement('apply it', routes, apply_us, 'us'),
    ]


def measure_choice(servers: int) -> list[Measurement]:
    """Measure the selection among the servers of one service."""
    table = ServerTable()
    now = time.monotonic()
    for index in range(servers):
        load = ServerLoad(slots=4)
        load.record_report(LoadReport(index % 4, 0, 4, 1.0, now))
        table.add(Candidate(f's{index}', '', load))
    queued = QueuedRequest(1, now + 3600, now + 7200, 0.1)
    spent_us = time_us(lambda: table.choose(queued, now), _MANY_REPEATS)
    return [make_measurement('choose a server', servers, spent_us, 'us')]


def measure_fleet(size: int) -> list[Measurement]:
    """Measure the membership traffic of a VM in a converged fleet."""
    fleet = make_simulated_fleet({'a': size, 'b': 4, 'c': 4})
    fleet.run(SETTLE_S)
    vms = fleet.running_vms()
    bytes_before = sum(vm.sent_bytes for vm in vms)
    datagrams_before = sum(vm.sent_datagrams for vm in vms)
    fleet.run(OBSERVATION_S)
    vm_seconds = len(vms) * OBSERVATION_S
    window_bytes = sum(vm.sent_bytes for vm in vms) - bytes_before
    window_datagrams = sum(vm.sent_datagrams for vm in vms) - datagrams_before
    return [
        make_measurement(
            'bytes sent by a VM', size, window_bytes / vm_seconds, 'bytes/s'
        ),
        make_measurement(
            'datagrams sent by a VM', size, window_datagrams / vm_seconds, '1/s'
        ),
    ]


def measure_heartbeat() -> list[Measurement]:
    """Measure encoding and merging one heartbeat of four rows."""
    members = [make_member('a', number) for number in range(4)]
    membership = Membership(make_member('a', 9))
    membership.merge(list(members), 0)
    message = Heartbeat([short_row(member) for member in members])
    raw = encode(message)

    def merge_encoded() -> None:
        decoded = decode(raw)
        assert isinstance(decoded, Heartbeat)  # noqa: S101
        membership.merge(decoded.rows, 0)

    return [
        make_measurement('heartbeat', 4, len(raw), 'bytes'),
        make_measurement(
            'encode it',
            4,
            time_us(lambda: encode(message), _MANY_REPEATS),
            'us',
        ),
        make_measurement(
            'take it over', 4, time_us(merge_encoded, _MANY_REPEATS), 'us'
        ),
    ]


def measure_members(size: int) -> list[Measurement]:
    """Measure the member table and counting the members that are alive."""
    tracemalloc.start()
    membership = Membership(make_member('a', 0))
    rows = [
        make_member(chr(ord('a') + index % DOMAIN_COUNT), index)
        for index in range(1, size)
    ]
    membership.merge(list(rows), 0)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    spent_us = time_us(lambda: membership.count(0), _FEW_REPEATS)
    return [
        make_measurement('table of VMs', size, used_bytes, 'bytes'),
        make_measurement('count the living', size, spent_us, 'us'),
    ]


def measure_gateway() -> list[Measurement]:
    """Return all measurements of a gateway."""
    measurements = measure_heartbeat()
    for size in SERVER_COUNTS:
        measurements.extend(measure_view(size))
    for routes in ROUTE_COUNTS:
        measurements.extend(measure_configuration(routes))
        measurements.extend(measure_delta(routes))
    for servers in SERVICE_SIZES:
        measurements.extend(measure_choice(servers))
        measurements.extend(measure_placements(servers))
    for members in FLEET_SIZES:
        measurements.extend(measure_members(members))
    for vms in DOMAIN_SIZES:
        measurements.extend(measure_fleet(vms))
    return measurements
