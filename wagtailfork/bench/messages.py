"""Measure size and codec cost of the messages between entry VMs."""

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
from .measurements import Measurement, time_us

_SAMPLE_KEY: Final = 'kiosk/0123456789abcdef'
_DIGEST: Final = '0123456789abcdef0123456789abcdef'
_RANGE_ID: Final = '0123456789ab-1'


def _sample_messages() -> tuple[Message, ...]:
    server_names = ['stockd.1']
    return (
        Heartbeat(),
        HeartbeatReply(
            phase='serving',
            offset=1,
            key_prefix='wf1.0123456789ab-1.0.',
        ),
        ClaimRequest(
            primary=_RANGE_ID,
            range_id=_RANGE_ID,
            slot=1,
            key=_SAMPLE_KEY,
            digest=_DIGEST,
            claim_id='0123456789abcdef',
        ),
        ClaimReply(decision='granted'),
        Replicate(
            member=_RANGE_ID,
            range_id=_RANGE_ID,
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
        SlotGrant(service='stockd', backends=server_names, sequence=9),
        SlotRecall(service='stockd', waited_ms=1, finish={'kiosk': 1.0}),
        SlotReturn(service='stockd', backends=server_names),
        SlotsHeld(service='stockd', backends=server_names * 5, sequence=9),
    )


def measure_messages() -> list[Measurement]:
    """Measure the size of each message and its encoding and decoding time."""
    measurements = []
    for message in _sample_messages():
        frame = Frame(1, 0, message)
        raw = encode_frame(frame)
        name = type(message).__name__
        measurements.append(
            Measurement(
                what=f'{name} frame',
                size=1,
                figure=len(raw),
                unit='bytes',
            ),
        )
        cost_us = _codec_cost_us(frame, raw)
        measurements.append(
            Measurement(
                what=f'{name} encode and decode',
                size=1,
                figure=cost_us,
                unit='us',
            ),
        )
    return measurements


def _codec_cost_us(frame: Frame, raw: bytes) -> float:
    return time_us(lambda: (encode_frame(frame), decode_frame(raw)))
