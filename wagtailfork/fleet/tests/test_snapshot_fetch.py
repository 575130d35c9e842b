"""Fetches from VMs that are slow, silent, or never done."""

import asyncio
from collections.abc import Sequence
from typing import Final

import testtools

from ...core.clock import now_s
from ...core.errors import WagtailforkError
from ...core.results import ResultCode
from .. import snapshots
from ..position import NO_EDITION, NO_POSITION
from ..snapshots import (
    ANSWER_LIMIT_S,
    SILENCE_LIMIT_S,
    Snapshot,
    SnapshotQuery,
    Transfer,
    fetch_snapshot,
    render_snapshot,
)

QUERY: Final = SnapshotQuery(NO_EDITION, NO_POSITION)
BODY: Final = render_snapshot(Snapshot(packed_configuration=b'x' * 999))
HEAD: Final = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(BODY)
MARGIN_S: Final = 0.5  # of a busy machine
PAUSE_S: Final = 0.3

# Pauses and bytes that a sender sends in turn.
Script = Sequence[float | bytes]


async def fetch_from(script: Script, transfer: Transfer) -> Snapshot:
    """Fetch from a sender that follows a script and stays connected."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        for step in script:
            if isinstance(step, bytes):
                writer.write(step)
            else:
                await asyncio.sleep(step)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        return await fetch_snapshot(f'127.0.0.1:{port}', QUERY, transfer)
    finally:
        server.close()


def cut(body: bytes, count: int) -> list[float | bytes]:
    """Return a body in pieces with pauses between them."""
    size = -(-len(body) // count)
    steps: list[float | bytes] = []
    for start in range(0, len(body), size):
        steps.extend((PAUSE_S, body[start : start + size]))
    return steps


class TestFetch(testtools.TestCase):
    """A fetch ends by silence, or at an outer bound."""

    def test_sender_that_goes_on(self) -> None:
        """Guards against a deadline for the whole transfer."""
        steps = [HEAD, *cut(BODY, 5)]
        snapshot = asyncio.run(fetch_from(steps, Transfer()))
        self.assertEqual(snapshots.parse_snapshot(BODY), snapshot)

    def test_silent_senders(self) -> None:
        """Guards against fetches that wait for a sender that is gone."""
        silent: tuple[tuple[Script, float, int], ...] = (
            ((), ANSWER_LIMIT_S, 0),
            ((HEAD,), SILENCE_LIMIT_S, 0),
            ((HEAD, PAUSE_S, BODY[:9]), PAUSE_S + SILENCE_LIMIT_S, 9),
        )
        for script, wanted_s, received in silent:
            transfer = Transfer()
            spent_s = self._fail(script, transfer)
            self.assertGreaterEqual(spent_s, wanted_s - 0.01)
            self.assertLess(spent_s, wanted_s + MARGIN_S)
            self.assertEqual(received, transfer.describe()['received_bytes'])

    def test_sender_that_is_never_done(self) -> None:
        """Guards against one slow sender that keeps others from being asked."""
        self.patch(snapshots, 'FETCH_LIMIT_S', 3 * PAUSE_S)
        spent_s = self._fail([HEAD, *cut(BODY, 20)], Transfer())
        self.assertLess(spent_s, 3 * PAUSE_S + MARGIN_S)

    def _fail(self, script: Script, transfer: Transfer) -> float:
        """Return the seconds until a fetch fails."""
        began_s = now_s()
        error = self.assertRaises(
            WagtailforkError, asyncio.run, fetch_from(script, transfer)
        )
        self.assertEqual(ResultCode.service_unreachable, error.code)
        return now_s() - began_s
