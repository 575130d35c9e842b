"""Hop-by-hop header filtering and encoding of message heads."""

from collections.abc import Iterable
from typing import Final

Header = tuple[bytes, bytes]

_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'http2-settings',
        b'content-length',
        b'expect',
    )
)
CRLF: Final = b'\r\n'
WHITE_SPACE: Final = b' \t'  # around the value of a header


def header_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header by its lower-case name.

    >>> header_value([(b'Host', b'a')], b'host')
    b'a'
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def stripped(headers: Iterable[Header]) -> list[Header]:
    """Return headers without white space around their values.

    >>> stripped([(b'Host', b' a ')])
    [(b'Host', b'a')]
    """
    return [(key, value.strip(WHITE_SPACE)) for key, value in headers]


def without(headers: Iterable[Header], name: bytes) -> list[Header]:
    """Return headers without those of a lower-case name.

    >>> without([(b'Host', b'a'), (b'X-A', b'1')], b'host')
    [(b'X-A', b'1')]
    """
    return [pair for pair in headers if pair[0].lower() != name]


def end_to_end(
    headers: Iterable[Header], dropped: frozenset[bytes]
) -> list[Header]:
    """Return headers without hop-by-hop ones and the ``dropped`` names.

    >>> end_to_end([(b'Connection', b'x-a'), (b'X-A', b'1')], frozenset())
    []
    """
    pairs = list(headers)
    connection_options: set[bytes] = set()
    for key, value in pairs:
        if key.lower() == b'connection':
            connection_options.update(
                part.strip().lower() for part in value.split(b',')
            )
    excluded = _HOP_BY_HOP | dropped | connection_options
    return [pair for pair in pairs if pair[0].lower() not in excluded]


def render_head(first_line: bytes, headers: Iterable[Header]) -> bytes:
    r"""Encode a first line and headers, with the empty line at the end.

    >>> render_head(b'GET / HTTP/1.1', [(b'Host', b'a')])
    b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
    """
    lines = [first_line]
    for key, value in headers:
        lines.append(b'%b: %b' % (key, value))
    lines.extend((b'', b''))
    return CRLF.join(lines)


def render_chunk(piece: bytes) -> bytes:
    """Encode one chunk of the chunked transfer coding."""
    return b'%x\r\n%b\r\n' % (len(piece), piece)
