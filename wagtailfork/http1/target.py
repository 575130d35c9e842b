"""Request targets, which may name their host."""

import re
from typing import Final

_ABSOLUTE: Final = re.compile(
    rb'https?://([^/?#@]+)([/?#].*)?', re.IGNORECASE | re.DOTALL
)


def split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the host with its port, if the target names one, and the rest.

    >>> split_target(b'http://a:80/b?c')
    (b'a:80', b'/b?c')
    >>> split_target(b'http://a?c')
    (b'a', b'/?c')
    >>> split_target(b'/b')
    (b'', b'/b')
    """
    found = _ABSOLUTE.fullmatch(target)
    if found is None:
        return b'', target
    rest = found[2] or b'/'
    if not rest.startswith(b'/'):
        rest = b'/%b' % rest
    return found[1], rest
