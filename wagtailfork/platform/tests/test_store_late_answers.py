"""Answers of the store that come late or once more."""

import asyncio
import json
import re

import attrs
import testtools

from ...core.errors import WagtailforkError
from ..store import StoreClient

TOPICS = ('t0', 't1', 't2')
CALL_LIMIT_S = 2.0  # of the client
LATE_S = 0.02  # of a copy that arrives while its connection is idle
IDLE_S = 0.06


@attrs.define(eq=False)
class LateStore:
    """Answer each listing with its topic as the only key."""

    first_delay_s: float = 0
    copy_delay_s: float | None = None  # after each answer
    connections: int = 0
    answers: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer each call on a connection."""
        self.connections += 1
        while line := await reader.readline():
            await reader.readuntil(b'\r\n\r\n')
            delay_s = 0 if self.answers else self.first_delay_s
            self.answers += 1
            await asyncio.sleep(delay_s)
            answer = _render(line.decode())
            if self.copy_delay_s is None:
                writer.write(answer)
                continue
            if not self.copy_delay_s:
                writer.write(answer + answer)
                continue
            writer.write(answer)
            await asyncio.sleep(self.copy_delay_s)
            writer.write(answer)
        writer.close()


def _render(line: str) -> bytes:
    found = re.search(r'topic=(\w+)', line)
    topic = found.group(1) if found else ''
    row = {'key': topic, 'value': 'eA==', 'offset': 0}
    page = json.dumps({'items': [row], 'end': 1}).encode()
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(page),
        page,
    )


async def _list_topics(server: LateStore) -> list[list[str] | None]:
    """Return the keys of each topic, or None for a failed call."""
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    client = StoreClient(f'127.0.0.1:{port}')
    found: list[list[str] | None] = []
    for topic in TOPICS:
        try:
            listing = await client.list_newest(topic)
        except WagtailforkError:
            found.append(None)
            continue
        found.append(list(listing.records))
        await asyncio.sleep(IDLE_S)
    client.drop_idle()
    listener.close()
    return found


class TestLateAnswers(testtools.TestCase):
    """The answer to one call is never taken for that to another."""

    def test_answer_after_the_limit(self) -> None:
        """Its connection was closed when the call failed."""
        server = LateStore(first_delay_s=CALL_LIMIT_S + LATE_S)
        self.assertEqual(
            [None, ['t1'], ['t2']], asyncio.run(_list_topics(server))
        )
        self.assertEqual(2, server.connections)

    def test_second_answer_at_once(self) -> None:
        """A connection with an answer too many carries no other call."""
        server = LateStore(copy_delay_s=0)
        self.assertEqual(
            [['t0'], ['t1'], ['t2']], asyncio.run(_list_topics(server))
        )
        self.assertEqual(3, server.connections)

    def test_second_answer_while_idle(self) -> None:
        """Bytes that arrive on an idle connection close it."""
        server = LateStore(copy_delay_s=LATE_S)
        self.assertEqual(
            [['t0'], ['t1'], ['t2']], asyncio.run(_list_topics(server))
        )
        self.assertEqual(3, server.connections)
