"""Frames between entry VMs: a CBOR list of sequence, reply, type and body."""

from typing import Any, Final, get_args

import attrs
import cbor2

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.structure import parse_plain, render_plain
from .messages import Message

MAX_FRAME_BYTES: Final = 16777216
_MAX_SHOWN: Final = 99  # characters of a bad frame in a message

_KINDS: Final[dict[str, type[Any]]] = {
    kind.__name__: kind for kind in get_args(Message)
}
_FRAME_PARTS: Final = 4


@attrs.frozen
class Frame:
    """Hold one message with its place in the exchange.

    ``seq`` numbers a request, ``reply_to`` names the request answered; zero
    stands for none.
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
        raise WagtailforkError(ResultCode.frame_malformed, 'text frame')
    seq, reply_to, kind, body = _split(raw)
    if kind not in _KINDS:
        raise WagtailforkError(
            ResultCode.frame_unknown_type, repr(kind)[:_MAX_SHOWN]
        )
    message = parse_plain(body, _KINDS[kind], ResultCode.frame_malformed)
    return Frame(seq, reply_to, message)


def _split(raw: bytes) -> tuple[int, int, str, Any]:
    try:
        parts = cbor2.loads(raw)
    except Exception as exc:
        # The decoder raises many kinds of error on hostile bytes.
        raise WagtailforkError(
            ResultCode.frame_malformed,
            repr(exc)[:_MAX_SHOWN],
        ) from exc
    if not isinstance(parts, list) or len(parts) != _FRAME_PARTS:
        raise WagtailforkError(ResultCode.frame_malformed, 'not four parts')
    seq, reply_to, kind, body = parts
    if type(seq) is not int or type(reply_to) is not int:  # noqa: WPS516
        raise WagtailforkError(ResultCode.frame_malformed, 'sequence numbers')
    if not isinstance(kind, str):
        raise WagtailforkError(ResultCode.frame_malformed, 'type name')
    return seq, reply_to, kind, body
