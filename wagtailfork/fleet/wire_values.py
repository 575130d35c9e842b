"""Checked values of messages between VMs, which may come from anywhere."""

from typing import Any, Final

from ..core.address import is_address
from ..routing.fingerprints import FINGERPRINT_BYTES

MAX_NUMBER: Final = 9007199254740992  # 2**53, beyond any count or time
_MAX_CHECKSUM: Final = 0xFFFFFFFF


def as_number(found: Any) -> int:
    """Return an integer of a sensible size, or raise ``ValueError``.

    >>> as_number(5), as_number(-1)
    (5, -1)
    >>> as_number(True)
    Traceback (most recent call last):
    ...
    ValueError: True is not a number of a message
    """
    if isinstance(found, bool) or not isinstance(found, int):
        raise ValueError(f'{found!r} is not a number of a message')
    if abs(found) > MAX_NUMBER:
        raise ValueError(f'a number of {found.bit_length()} bits is too large')
    return found


def as_count(found: Any) -> int:
    """Return a number that is not negative, or raise ``ValueError``."""
    if as_number(found) < 0:
        raise ValueError(f'{found} is negative')
    return int(found)


def as_text(found: Any) -> str:
    """Return a printable text, or raise ``ValueError``."""
    if not isinstance(found, str) or not found.isprintable():
        raise ValueError(f'{found!r} is not a text of a message')
    return found


def as_address(found: Any) -> str:
    """Return an IP address with a port, or raise ``ValueError``."""
    if not is_address(found):
        raise ValueError(f'{found!r} is not an address')
    return str(found)


def as_digest(found: Any) -> str:
    """Return a digest in hexadecimal; earlier builds send 32 bits.

    >>> as_digest(bytes(16)), as_digest(5)
    ('00000000000000000000000000000000', '00000005')
    """
    if isinstance(found, bytes) and len(found) == FINGERPRINT_BYTES:
        return found.hex()
    number = as_count(found)
    if number > _MAX_CHECKSUM:
        raise ValueError(f'{number} is neither a digest nor a checksum')
    return f'{number:08x}'


def render_digest(digest: str) -> bytes | int:
    """Return the wire form of a digest, a number for one of 32 bits."""
    raw = bytes.fromhex(digest)
    if len(raw) == FINGERPRINT_BYTES:
        return raw
    return int.from_bytes(raw, 'big')


def as_name(found: Any) -> str:
    """Return the key of a record, which may be any text."""
    if not isinstance(found, str):
        raise ValueError(f'{found!r} is not a key')
    return found


def as_bytes(found: Any) -> bytes:
    """Return the content of a record, or raise ``ValueError``."""
    if not isinstance(found, bytes):
        raise ValueError(
            f'{type(found).__name__} is not the content of a record'
        )
    return found
