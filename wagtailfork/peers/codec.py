"""Frames between entry VMs, encoded as CBOR.

A frame is a list of its sequence number, the sequence number that it replies
to, the message type and the message body.
"""

from typing import Any, Final, get_args

import attrs
import cbor2

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.structure import parse_plain, render_plain
from .messages import Message

MAX_FRAME_BYTES: Final = 16777216
_MAX_DETAIL_CHARS: Final = 99  # characters of a decoding error in the detail

_MESSAGE_TYPES: Final[dict[str, type[Any]]] = {
    message_type.__name__: message_type for message_type in get_args(Message)
}
_FRAME_ITEMS: Final = 4


@attrs.frozen
class Frame:
    """Hold one message with its sequence numbers.

    ``seq`` numbers a request and is zero if no reply is expected;
    ``reply_to`` is the number of the request replied to, else zero.
    """

    seq: int
    reply_to: int
    message: Message


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
    return cbor2.dumps(
        [
            frame.seq,
            frame.reply_to,
            type(frame.message).__name__,
            render_plain(frame.message),
        ]
    )


def decode_frame(raw: bytes | str) -> Frame:
    """Decode a frame or raise ``frame_malformed`` or ``frame_unknown_type``.

    >>> from .messages import Ack
    >>> decode_frame(encode_frame(Frame(1, 0, Ack(code=0)))).message
    Ack(code=0)
    """
    if isinstance(raw, str):
        raise WagtailforkError(
            ResultCode.frame_malformed, 'text frame, expected a binary frame'
        )
    seq, reply_to, message_type, body = _parse_envelope(raw)
    if message_type not in _MESSAGE_TYPES:
        raise WagtailforkError(
            ResultCode.frame_unknown_type,
            repr(message_type)[:_MAX_DETAIL_CHARS],
        )
    message = parse_plain(
        body, _MESSAGE_TYPES[message_type], ResultCode.frame_malformed
    )
    return Frame(seq, reply_to, message)


def _parse_envelope(raw: bytes) -> tuple[int, int, str, Any]:
    try:
        envelope = cbor2.loads(raw)
    except Exception as exc:
        # The decoder can raise any exception on malformed bytes.
        raise WagtailforkError(
            ResultCode.frame_malformed,
            repr(exc)[:_MAX_DETAIL_CHARS],
        ) from exc
    if not isinstance(envelope, list) or len(envelope) != _FRAME_ITEMS:
        raise WagtailforkError(
            ResultCode.frame_malformed, 'frame is not a list of four items'
        )
    seq, reply_to, message_type, body = envelope
    if type(seq) is not int or type(reply_to) is not int:  # noqa: WPS516
        raise WagtailforkError(
            ResultCode.frame_malformed, 'sequence numbers are not integers'
        )
    if not isinstance(message_type, str):
        raise WagtailforkError(
            ResultCode.frame_malformed, 'message type is not a string'
        )
    return seq, reply_to, message_type, body
