"""Digests by which two requests are known to be the same."""

import hashlib
import struct
from collections.abc import Iterable
from typing import Final

FINGERPRINT_BYTES: Final = 16


def fingerprint_of(
    customer: str,
    scope: bytes,
    method: bytes,
    target: bytes,
    *,
    size: bytes | None,
    body: Iterable[bytes],
) -> str:
    """Return the digest of what a caller repeats, in hexadecimal.

    ``scope`` is the service or host that the target belongs to, ``size`` the
    length of the body if its caller named it. ``body`` may be the start of the
    body only, if that always has the same length. The digest is cryptographic:
    an answer clears all requests of a fingerprint, so no caller may be able to
    choose a request with that of another one.

    >>> one = fingerprint_of('a', b's', b'GET', b'/1', size=None, body=())
    >>> two = fingerprint_of('b', b's', b'GET', b'/1', size=None, body=())
    >>> len(one), one == two
    (32, False)
    """
    hasher = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    named = b'' if size is None else size
    for part in (customer.encode(), scope, method, target, named):
        # Its length keeps a part apart from the next one.
        hasher.update(struct.pack('>I', len(part)))
        hasher.update(part)
    for piece in body:
        hasher.update(piece)
    return hasher.hexdigest()
