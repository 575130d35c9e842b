"""Proper requests arrive unchanged, however they are written and cut."""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ..request import CallerRequest, Limits
from .test_request_framing import Scene, cut

HOST: Final = b'shop.example'
Seen = tuple[bytes, bytes, bytes, bytes]

METHODS = st.sampled_from([b'GET', b'POST', b'PUT', b'DELETE', b'OPTIONS'])
TARGETS = st.sampled_from(
    [b'/', b'/a?b=c', b'//a/../%2f', b'/?', b"/-._~!$&'()*+,;=:@?/?http://x/y"]
)
BODIES = st.sampled_from([b'', b'b', b'\r\n\r\n', b'GET / ', b'0\r\n' * 99])
SPACES = st.sampled_from([b'', b' ', b'\t', b' \t '])
CASES = st.sampled_from([bytes.lower, bytes.upper, bytes.title])
AUTHORITIES = st.sampled_from([b'', b'http://%b', b'HTTP://%b', b'https://%b'])
EXTENSIONS = st.sampled_from([b'', b';a', b';a=b;c', b';a="b;c"', b';a=""'])
SIZES = st.sampled_from([b'%x', b'%X', b'000%x'])
EXTRAS = (
    ((b'upgrade', b'h2c'), (b'connection', b'Upgrade, HTTP2-Settings')),
    ((b'connection', b'keep-alive,upgrade'), (b'upgrade', b'websocket')),
    ((b'upgrade', b'x/1'),),
    ((b'expect', b'100-Continue'),),
    ((b'x-empty', b''), (b"x!#$%&'*+-.^_`|~0", b'\xe4 \t"')),
    ((b'connection', b', TE ,'), (b'te', b'trailers')),
)


@attrs.frozen(kw_only=True)
class Writing:
    """Say how a request is written."""

    method: bytes
    target: bytes
    authority: bytes  # in the target; empty for the origin form
    body: bytes
    chunk_sizes: list[int]  # empty for a body of known length
    size_format: bytes
    extension: bytes
    trailer: bytes
    extras: list[tuple[tuple[bytes, bytes], ...]]
    case: Callable[[bytes], bytes]
    before: bytes  # white space around each value
    behind: bytes
    blank: bytes  # before the request

    def seen(self) -> Seen:
        """Return what a handler has to see."""
        return self.method, self.target, HOST, self.body

    def render(self) -> bytes:
        """Return the bytes of the request."""
        absolute = bool(self.authority)
        target = self.target
        if absolute:
            target = self.authority % HOST + target
        lines = [b'%b %b HTTP/1.1' % (self.method, target)]
        pairs = [(b'host', b'other.example' if absolute else HOST)]
        for extra in self.extras:
            pairs.extend(extra)
        if self.chunk_sizes:
            pairs.append((b'transfer-encoding', b'Chunked'))
        elif self.body:
            pairs.append((b'content-length', b'%d' % len(self.body)))
        for key, value in pairs:
            written = b'%b%b%b' % (self.before, value, self.behind)
            lines.append(b'%b:%b' % (self.case(key), written))
        head = b'%b%b\r\n\r\n' % (self.blank, b'\r\n'.join(lines))
        return head + self._framed_body()

    def _framed_body(self) -> bytes:
        if not self.chunk_sizes:
            return self.body
        raw = b''
        start = 0
        for size in (*self.chunk_sizes, len(self.body)):
            chunk = self.body[start : start + size]
            start += size
            if chunk:
                raw += b'%b%b\r\n' % (self._chunk_line(len(chunk)), chunk)
        return b'%b%b%b\r\n' % (raw, self._chunk_line(0), self.trailer)

    def _chunk_line(self, size: int) -> bytes:
        return b'%b%b\r\n' % (self.size_format % size, self.extension)


WRITINGS = st.builds(
    Writing,
    method=METHODS,
    target=TARGETS,
    authority=AUTHORITIES,
    body=BODIES,
    chunk_sizes=st.lists(st.integers(min_value=1, max_value=99), max_size=4),
    size_format=SIZES,
    extension=EXTENSIONS,
    trailer=st.sampled_from([b'', b'T: t \r\nHost:x\r\n']),
    extras=st.lists(st.sampled_from(EXTRAS), max_size=3),
    case=CASES,
    before=SPACES,
    behind=SPACES,
    blank=st.sampled_from([b'', b'\r\n', b'\r\n\r\n']),
)


def describe(req: CallerRequest) -> Seen:
    """Return what a handler sees of a request."""
    host = req.find(b'host') or b''
    return req.method, req.target, host, req.body.payload()


class TestUncommonWriting(testtools.TestCase):
    """No proper request is called wrong or changed."""

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(
        writings=st.lists(WRITINGS, min_size=1, max_size=5),
        ends=st.lists(st.integers(min_value=0, max_value=3000), max_size=20),
    )
    def test_any_writing_arrives_unchanged(
        self, writings: list[Writing], ends: list[int]
    ) -> None:
        """Upgrades, absolute targets and white space got 4xx."""
        raw = b''.join(writing.render() for writing in writings)

        async def play() -> tuple[list[int], list[Seen]]:
            scene = Scene(limits=Limits())
            scene.open.set()
            await scene.receive(*cut(raw, ends))
            statuses = await scene.respond()
            return statuses, [describe(req) for req in scene.served]

        statuses, seen = asyncio.run(play())
        self.assertEqual([writing.seen() for writing in writings], seen)
        final = [status for status in statuses if status >= 200]
        self.assertEqual([200 for _ in writings], final)
