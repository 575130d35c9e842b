"""Measure what a placement costs the coordinator of a service."""

import asyncio
import time
from typing import Final

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..fleet.load_rows import LoadRow
from ..fleet.messages import Message, decode, encode
from ..fleet.placement_messages import (
    Outcome,
    PlacementEnded,
    PlacementRequest,
)
from ..gateway.placement_client import MAX_CONNECTED
from ..gateway.limit_recorder import LimitRecorder
from ..gateway.placement_coordinator import PlacementCoordinator
from ..routing.candidate import Candidate
from ..routing.late_binding import ServiceQueue
from ..routing.load import LoadReport, ServerLoad
from .measurements import US_PER_S, Measurement, make_measurement

PLACEMENTS: Final = 2000
_SENDER: Final = '10.97.0.1:7620'
_SLOTS: Final = 4
_HOUR_S: Final = 3600.0


def measure_placements(servers: int) -> list[Measurement]:
    """Measure placements on ``servers`` servers, without probes."""
    return asyncio.run(_measure(servers))


async def _measure(servers: int) -> list[Measurement]:
    names = [f'i-{index:010x}' for index in range(servers)]
    granted: list[bytes] = []
    coordinator = _make_coordinator(names, granted)
    started_s = time.process_time()
    for number in range(PLACEMENTS):
        await _place(
            coordinator, encode(_request(number, names)), encode(_ended(number))
        )
    spent_us = (time.process_time() - started_s) / PLACEMENTS * US_PER_S
    return [
        make_measurement('place and take back', servers, spent_us, 'us'),
        _size('placement request', servers, _request(PLACEMENTS, names)),
        make_measurement('grant', servers, len(granted[-1]), 'bytes'),
        _size('return of a slot', servers, _ended(PLACEMENTS)),
    ]


def _size(what: str, servers: int, message: Message) -> Measurement:
    return make_measurement(what, servers, len(encode(message)), 'bytes')


def _make_coordinator(
    names: list[str], granted: list[bytes]
) -> PlacementCoordinator:
    queue = _make_queue(names)

    def send(message: Message, _addresses: list[str]) -> None:
        granted.append(encode(message))

    return PlacementCoordinator(
        lambda _service: queue,
        send,
        lambda _address: True,
        LimitRecorder(EventLog(lines_per_s=0), lambda _candidate: None),
    )


def _make_queue(names: list[str]) -> ServiceQueue:
    queue = ServiceQueue('stock')
    for name in names:
        load = ServerLoad(slots=_SLOTS)
        # A report from the future is always fresh.
        load.record_report(LoadReport(0, 0, _SLOTS, at_s=now_s() + _HOUR_S))
        queue.table.add(Candidate(name, '', load))
    return queue


async def _place(
    coordinator: PlacementCoordinator, request: bytes, ended: bytes
) -> None:
    """Place one request and return its slot, which is reported twice."""
    placement = decode(request)
    assert isinstance(placement, PlacementRequest)  # noqa: S101
    coordinator.handle_request(placement)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    for _ in range(2):
        returned = decode(ended)
        assert isinstance(returned, PlacementEnded)  # noqa: S101
        coordinator.handle_ended(returned)


def _request(number: int, names: list[str]) -> PlacementRequest:
    return PlacementRequest(
        sender=_SENDER,
        number=number,
        service='stock',
        rank=1,
        age_ms=2,
        objective_ms=500,
        deadline_ms=4000,
        service_ms=200.0,
        kilobytes=2,
        connected=tuple(names[:MAX_CONNECTED]),
    )


def _ended(number: int) -> PlacementEnded:
    return PlacementEnded(
        sender=_SENDER,
        number=number,
        outcome=Outcome.succeeded,
        load=LoadRow(running=1, waiting=0, slots=4, slowness=1.0, age_ms=3),
    )
