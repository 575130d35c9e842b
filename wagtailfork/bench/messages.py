"""Measure the messages between entry VMs."""

from typing import Final

from ..peers.codec import Frame, decode_frame, encode_frame
from ..peers.messages import (
    ClaimReply,
    ClaimRequest,
    Heartbeat,
    HeartbeatReply,
    Message,
    Replicate,
    SlotGrant,
    SlotRecall,
    SlotReturn,
    SlotsHeld,
    SlotWant,
)
from .readings import Reading, time_us

_SAMPLE_KEY: Final = 'kiosk/0123456789abcdef'
_DIGEST: Final = '0123456789abcdef0123456789abcdef'
_RANGE: Final = '0123456789ab-1'


def _sample_messages() -> tuple[Message, ...]:
    names = ['stockd.1']
    return (
        Heartbeat(),
        HeartbeatReply(
            phase='serving',
            offset=1,
            key_prefix='wf1.0123456789ab-1.0.',
        ),
        ClaimRequest(
            primary=_RANGE,
            range_id=_RANGE,
            slot=1,
            key=_SAMPLE_KEY,
            digest=_DIGEST,
            claim_id='0123456789abcdef',
        ),
        ClaimReply(decision='granted'),
        Replicate(
            member=_RANGE,
            range_id=_RANGE,
            view=1,
            slot_now=0,
            slot=1,
            key=_SAMPLE_KEY,
            digest=_DIGEST,
        ),
        SlotWant(
            service='stockd',
            lanes={'kiosk': 1},
            served={'kiosk': 3.0},
            waited_ms=1,
        ),
        SlotGrant(service='stockd', backends=names, sequence=9),
        SlotRecall(service='stockd', waited_ms=1, finish={'kiosk': 1.0}),
        SlotReturn(service='stockd', backends=names),
        SlotsHeld(service='stockd', backends=names * 5, sequence=9),
    )


def measure_messages() -> list[Reading]:
    """Measure each message's size and its cost to encode and decode."""
    readings = []
    for message in _sample_messages():
        frame = Frame(1, 0, message)
        raw = encode_frame(frame)
        name = type(message).__name__
        readings.append(
            Reading(
                what=f'{name} frame',
                size=1,
                figure=len(raw),
                unit='bytes',
            ),
        )
        cost = _codec_cost(frame, raw)
        readings.append(
            Reading(
                what=f'{name} encode and decode',
                size=1,
                figure=cost,
                unit='us',
            ),
        )
    return readings


def _codec_cost(frame: Frame, raw: bytes) -> float:
    return time_us(lambda: (encode_frame(frame), decode_frame(raw)))
