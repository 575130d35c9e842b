"""Changes from one configuration to the next, for VMs that have the first.

The format of a configuration is not known here. It is cut where an object of
JSON ends, and pieces that both have are sent as their place in the first.
"""

import hashlib
import re
from collections.abc import Iterable
from itertools import accumulate
from typing import Any, Final

import attrs
import cbor2

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from .position import Edition
from .snapshots import MAX_SNAPSHOT_BYTES, pack, unpack
from .wire_values import as_count

MAX_DELTA_BYTES: Final = 1048576  # before it is compressed
MAX_DOCUMENTS: Final = 8  # of a history
MAX_HISTORY_BYTES: Final = 1048576  # of its compressed documents
_DIGEST_BYTES: Final = 16
_PIECE: Final = re.compile(rb'[^}]+\}?|\}')

# A literal piece, or the start and the count of pieces of the base.
Step = bytes | list[int]


def render_delta(base: Edition, before: bytes, after: bytes) -> bytes | None:
    """Return what makes ``after`` of ``before``, None if that is too long.

    >>> delta = render_delta(Edition(1, 1), b'{"a": {}}', b'{"b": {}}')
    >>> apply_delta(delta, Edition(1, 1), b'{"a": {}}')
    b'{"b": {}}'
    """
    steps = _find_steps(_PIECE.findall(before), _PIECE.findall(after))
    rendered = cbor2.dumps([base.version, base.era, _digest(after), steps])
    return pack(rendered) if len(rendered) <= MAX_DELTA_BYTES else None


def apply_delta(delta: bytes, edition: Edition, raw: bytes) -> bytes:
    """Return the document that a delta makes of the one of an edition.

    Raise ``frame_malformed`` if it can't be made, or is not the one that the
    sender has.
    """
    rendered = unpack(delta, MAX_DELTA_BYTES)
    try:
        return _apply_parts(cbor2.loads(rendered), edition, raw)
    except WagtailforkError:
        raise
    except Exception as exc:
        # Malformed input raises many types of exceptions in the decoder. Their
        # texts may show keys of customers.
        raise _malformed(type(exc).__name__) from exc


@attrs.define(eq=False)
class ConfigurationHistory:
    """Keep the last documents, and the deltas from them to the newest.

    >>> history = ConfigurationHistory()
    >>> history.add(Edition(1, 1), b'{"a": {}}')
    >>> history.add(Edition(2, 1), b'{"b": {}}')
    >>> history.delta_from(Edition(0, 0)) is None
    True
    """

    # Not in the representation, as they hold the keys of customers.
    packed: bytes = attrs.field(default=b'', repr=False)  # the newest
    _raw: bytes = attrs.field(default=b'', repr=False)
    _documents: dict[Edition, bytes] = attrs.field(factory=dict, repr=False)
    _deltas: dict[Edition, bytes | None] = attrs.field(factory=dict, repr=False)

    def add(self, edition: Edition, raw: bytes) -> None:
        """Add the document that is the newest from now on."""
        self._raw = raw
        self.packed = pack(raw)
        self._deltas.clear()
        self._documents[edition] = self.packed
        while self._is_too_long():
            self._documents.pop(next(iter(self._documents)))

    def delta_from(self, base: Edition) -> bytes | None:
        """Return the delta to the newest document.

        Return None if the base is not kept, or the document itself is shorter.
        """
        known = self._documents.get(base)
        if known is None:
            return None
        if base not in self._deltas:
            self._deltas[base] = render_delta(base, unpack(known), self._raw)
        delta = self._deltas[base]
        if delta is None or len(delta) >= len(self.packed):
            return None
        return delta

    def _is_too_long(self) -> bool:
        count = len(self._documents)
        if count == 1:
            return False
        size = sum(len(packed) for packed in self._documents.values())
        return count > MAX_DOCUMENTS or size > MAX_HISTORY_BYTES


def _malformed(why: str) -> WagtailforkError:
    return WagtailforkError(ResultCode.frame_malformed, f'delta: {why}')


def _digest(raw: bytes) -> bytes:
    return hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).digest()


def _find_steps(before: list[bytes], after: Iterable[bytes]) -> list[Step]:
    """Return the longest runs, each from the first place of its first piece."""
    places: dict[bytes, int] = {}
    for place, piece in enumerate(before):
        places.setdefault(piece, place)
    steps: list[Step] = []
    start = 0
    end = 0  # of the last run
    for piece in after:
        if start < end < len(before) and before[end] == piece:
            end += 1
            steps[-1] = [start, end - start]
            continue
        start = places.get(piece, 0)
        end = start + 1 if piece in places else 0
        steps.append([start, 1] if end else piece)
    return steps


def _apply_parts(parts: Any, edition: Edition, raw: bytes) -> bytes:
    version, era, digest, steps = parts
    if Edition(version, era) != edition:
        raise _malformed(f'of another edition than {edition}')
    found = _follow(steps, raw)
    if _digest(found) != digest:
        raise _malformed('its document is not the one of the sender')
    return found


def _follow(steps: Iterable[Any], raw: bytes) -> bytes:
    """Return the document that the steps make, of a bounded size."""
    ends = [0, *accumulate(len(piece) for piece in _PIECE.findall(raw))]
    parts = []
    size = 0
    for step in steps:
        part = step if isinstance(step, bytes) else _copy(step, ends, raw)
        size += len(part)
        if size > MAX_SNAPSHOT_BYTES:
            raise _malformed(f'document over {MAX_SNAPSHOT_BYTES} bytes')
        parts.append(part)
    return b''.join(parts)


def _copy(step: Any, ends: list[int], raw: bytes) -> bytes:
    start, count = (as_count(number) for number in step)
    return raw[ends[start] : ends[start + count]]
