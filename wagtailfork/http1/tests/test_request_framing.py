"""Requests get the same responses wherever the reads of their bytes end."""

import asyncio
import itertools
import re
from typing import Any, Final

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ..caller import CallerConnection
from ..request import CallerRequest, Limits
from ..request_framing import MAX_OVERHEAD_BYTES
from ..server import CallerServer

HEAD_LIMIT: Final = 200
BODY_LIMIT: Final = 300
LIMITS = Limits(max_header_bytes=HEAD_LIMIT, max_body_bytes=BODY_LIMIT)
STEPS = 40  # of the loop, more than a request takes


@attrs.define(eq=False)
class Transport:
    """Collect what a connection writes."""

    written: bytearray = attrs.field(factory=bytearray)
    ended: bool = False

    def write(self, raw: bytes) -> None:
        """Append bytes."""
        if not self.ended:
            self.written += raw

    def write_eof(self) -> None:
        """End the connection after what was written."""
        self.ended = True

    def abort(self) -> None:
        """End the connection."""
        self.ended = True

    def get_write_buffer_size(self) -> int:
        """Return that all is sent."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the connection was aborted."""
        return self.ended

    def pause_reading(self) -> None:
        """Go on, as a pause takes effect after a read only."""

    def resume_reading(self) -> None:
        """Go on."""


@attrs.define(eq=False)
class Scene:
    """Hold a connection whose handler waits until it may respond."""

    open: asyncio.Event = attrs.field(factory=asyncio.Event)
    transport: Transport = attrs.field(factory=Transport)
    limits: Limits = LIMITS
    conn: Any = attrs.field(init=False)
    started: list[bytes] = attrs.field(factory=list)
    served: list[CallerRequest] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Connect."""
        self.conn = CallerConnection(
            CallerServer(self._serve, lambda: self.limits)
        )
        self.conn.connection_made(self.transport)

    async def receive(self, *pieces: bytes) -> None:
        """Receive each piece in a read of its own."""
        for piece in pieces:
            self.conn.data_received(piece)
            await self.settle()

    async def settle(self) -> None:
        """Let the handlers go on."""
        for _ in range(STEPS):
            await asyncio.sleep(0)

    async def respond(self) -> list[int]:
        """Let the handlers respond; return the statuses."""
        self.open.set()
        await self.settle()
        self.conn._timeouts.stop()
        heads = bytes(self.transport.written).split(b'HTTP/1.1 ')
        return [int(head[:3]) for head in heads[1:]]

    async def _serve(self, req: CallerRequest) -> None:
        self.started.append(req.target)
        await req.body.wait_buffered()
        await self.open.wait()
        if req.body.truncated:
            req.abort()
            return
        self.served.append(req)
        req.respond(200, [(b'Target', req.target)], req.body.payload())


def get(target: bytes, size: int = 0) -> bytes:
    """Render a request with a head of a size, the least if it is smaller."""
    line = b'GET %b HTTP/1.1\r\n' % target
    least = len(line) + len(b'X: \r\n\r\n')
    return line + b'X: %b\r\n\r\n' % (b'v' * (size - least))


def post(target: bytes, body: bytes) -> bytes:
    """Render a request with a body of known length."""
    line = b'POST %b HTTP/1.1\r\nContent-Length: %d\r\n\r\n'
    return line % (target, len(body)) + body


def post_chunks(target: bytes, chunks: list[bytes], trailer: bytes) -> bytes:
    """Render a request with a chunked body and a trailer."""
    head = b'POST %b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n' % target
    body = b''.join(b'%x;e\r\n%b\r\n' % (len(one), one) for one in chunks)
    return head + body + b'0\r\nT: %b\r\n\r\n' % trailer


def responses(*pieces: bytes) -> tuple[bytes, bool]:
    """Return what a connection writes after these reads, and if it ends."""

    async def play() -> tuple[bytes, bool]:
        scene = Scene()
        scene.open.set()
        await scene.receive(*pieces)
        await scene.respond()
        return bytes(scene.transport.written), scene.transport.ended

    return asyncio.run(play())


def statuses(*pieces: bytes) -> list[int]:
    """Return the statuses for reads that come while the first one is open."""

    async def play() -> list[int]:
        scene = Scene()
        await scene.receive(*pieces)
        return await scene.respond()

    return asyncio.run(play())


def echoes(*pieces: bytes) -> list[bytes]:
    """Return the targets and the bodies in the responses to these reads."""
    raw, _ = responses(*pieces)
    found = re.findall(rb'Target: (.*)\r\n(?:.*\r\n)*?\r\n([^H]*)', raw)
    return [b'%b %b' % pair for pair in found]


def add_headers(raw: bytes, lines: bytes) -> bytes:
    """Insert header lines into a request."""
    return raw.replace(b'\r\n', b'\r\n%b' % lines, 1)


def cut(raw: bytes, ends: list[int]) -> list[bytes]:
    """Cut bytes at these places."""
    places = sorted({0, len(raw), *(end % len(raw) for end in ends)})
    return [raw[one:two] for one, two in itertools.pairwise(places)]


UPGRADES = (
    b'Connection: Upgrade\r\nUpgrade: websocket\r\n',
    b'connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    b'HTTP2-Settings: AAMA\r\n',
)
TARGETS = st.sampled_from([b'/a', b'/b?c', b'/\r', b''])
BODIES = st.sampled_from(
    [b'', b'b', b'\r\n\r\n', b'0\r\n\r\n', b'GET / ', b'b' * 60]
)
SIZES = st.sampled_from([0, HEAD_LIMIT - 1, HEAD_LIMIT, HEAD_LIMIT + 1, 900])
PARTS = st.one_of(
    st.builds(get, TARGETS, SIZES),
    st.builds(post, TARGETS, BODIES),
    st.builds(
        post_chunks,
        TARGETS,
        st.lists(BODIES.filter(bool), max_size=8),
        st.sampled_from([b'', b't', b't' * HEAD_LIMIT]),
    ),
    st.sampled_from([b'\r\n', b'\r\n\r\n', b'\n', b'no request\r\n\r\n']),
    st.just(get(b'/u').replace(b'X: ', b'Connection: upgrade\r\nUpgrade: x')),
    st.just(b'POST / HTTP/1.1\r\nContent-Length: 301\r\n\r\n'),
)


class TestCuts(testtools.TestCase):
    """The ends of reads change nothing."""

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(
        parts=st.lists(PARTS, min_size=1, max_size=6),
        ends=st.lists(st.integers(min_value=0, max_value=3000), max_size=30),
    )
    def test_any_cut_gets_the_same_responses(
        self, parts: list[bytes], ends: list[int]
    ) -> None:
        """Heads were measured by the reads that they came in."""
        raw = b''.join(parts)
        self.assertEqual(responses(raw), responses(*cut(raw, ends)))

    def test_single_bytes(self) -> None:
        """Each byte may come alone."""
        raw = b'\r\n'.join(
            [
                get(b'/a', HEAD_LIMIT),
                post(b'/b', b'\r\n\r\nb'),
                post_chunks(b'/c', [b'\r\n', b'c' * 9], b't'),
                get(b'/d', HEAD_LIMIT + 1),
            ]
        )
        pieces = cut(raw, list(range(len(raw))))
        expected = [200, 200, 200, 431]
        self.assertEqual(expected, statuses(raw))
        self.assertEqual(expected, statuses(*pieces))

    def test_head_limit_is_exact(self) -> None:
        """It counts from the request line to the blank line."""
        expected = {HEAD_LIMIT - 1: 200, HEAD_LIMIT: 200, HEAD_LIMIT + 1: 431}
        for size, status in expected.items():
            raw = get(b'/a', size)
            for end in range(1, size):
                found = statuses(b'\r\n', raw[:end], raw[end:])
                self.assertEqual([status], found, f'{size} bytes, cut at {end}')


class TestOpenRequests(testtools.TestCase):
    """What comes behind an open request does not lose its response."""

    def test_look_ups_in_pieces(self) -> None:
        """Many small heads in one read were taken for one large head."""
        raw = b''.join(get(b'/%d' % number, 90) for number in range(8))
        pieces = (post(b'/pay', b'b'), raw[:60], raw[60:-60], raw[-60:])
        self.assertEqual([200] * 9, statuses(*pieces))

    def test_upload_before_a_look_up(self) -> None:
        """The bytes of a body were taken for those of the next head."""
        raw = post(b'/up', bytes(BODY_LIMIT)) + get(b'/a')
        self.assertEqual([200, 200], statuses(raw[:20], raw[20:-9], raw[-9:]))

    def test_large_head(self) -> None:
        """A payment that had run was not answered."""
        raw = post(b'/pay', b'b') + get(b'/a') + get(b'/b', HEAD_LIMIT + 1)
        self.assertEqual([200, 200, 431], statuses(raw))
        self.assertEqual([200, 200, 431], statuses(raw[:30], raw[30:]))

    def test_garbage(self) -> None:
        """A payment that had run was not answered."""
        raw = post(b'/pay', b'b') + get(b'/a')
        self.assertEqual([200, 200, 400], statuses(raw, b'no request\r\n'))

    def test_blank_lines(self) -> None:
        """A payment that had run was not answered."""
        blank = b'\r\n' * MAX_OVERHEAD_BYTES
        found = statuses(post(b'/pay', b'b'), blank)
        self.assertEqual([200, 400], found)

    def test_large_body(self) -> None:
        """A payment that had run was not answered."""
        raw = post(b'/pay', b'b') + post(b'/up', bytes(BODY_LIMIT + 1))
        self.assertEqual([200, 413], statuses(raw))

    def test_ignored_upgrade(self) -> None:
        """Regression: 400 for an upgrade, that a server may ignore."""
        for upgrade in UPGRADES:
            body = post_chunks(b'/b', [b'b', b'bb'], b't')
            raw = b''.join(
                add_headers(one, upgrade)
                for one in (post(b'/a', b'a'), body, get(b'/c'))
            )
            raw = post(b'/pay', b'p') + raw + post(b'/d', b'd')
            expected = [b'/pay p', b'/a a', b'/b bbb', b'/c ', b'/d d']
            self.assertEqual(expected, echoes(raw))
            self.assertEqual(expected, echoes(*cut(raw, list(range(999)))))

    def test_bad_framing_behind_an_upgrade(self) -> None:
        """The head is judged as strictly as one without an upgrade."""
        raw = post(b'/a', b'a').replace(b'gth', b'gth: 1\r\nContent-Length')
        raw = add_headers(raw, UPGRADES[0])
        self.assertEqual([200, 400], statuses(post(b'/pay', b'p') + raw))

    def test_other_transfer_coding(self) -> None:
        """Regression: a body was passed on without the name of its coding."""
        codings = {'gzip, Chunked': 501, 'identity': 400, 'chunked, gzip': 400}
        for coding, status in codings.items():
            raw = post_chunks(b'/a', [b'a'], b't')
            raw = raw.replace(b'chunked', coding.encode())
            found = statuses(post(b'/pay', b'p') + raw + get(b'/b'))
            self.assertEqual([200, status], found, coding)

    def test_empty_coding(self) -> None:
        """It is malformed, and is not parsed again and again."""
        raw = get(b'/a').replace(b'X:', b'Transfer-Encoding:')
        self.assertEqual([200, 400], statuses(post(b'/pay', b'p') + raw))

    def test_tunnel(self) -> None:
        """A tunnel through the gateway is refused."""
        raw = get(b'a:80').replace(b'GET', b'CONNECT')
        found = statuses(post(b'/pay', b'p') + raw + get(b'/a'))
        self.assertEqual([200, 400], found)

    def test_bad_chunk_of_a_waiting_upload(self) -> None:
        """The upload is not taken for a whole one; the payment is answered."""
        head = b'POST /up HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        raw = post(b'/pay', b'b') + head
        self.assertEqual([200], statuses(raw, b'1\r\nbb\r\n'))
