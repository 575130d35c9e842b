"""Replies of a peer that come late or once more."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import testtools
from websockets.asyncio.server import ServerConnection, serve

from ...core.errors import WagtailforkError
from ..codec import Frame, decode_frame, encode_frame
from ..link import PeerLink
from ..messages import (
    ClaimReply,
    ClaimRequest,
    Heartbeat,
    HeartbeatReply,
    Hello,
    HelloReply,
    Message,
)

CALL_LIMIT_S = 0.1
HEARTBEAT_S = 0.02
PEER_TIMEOUT_S = 2.0


def make_claim(key: str) -> ClaimRequest:
    """Return a claim on a key."""
    return ClaimRequest(
        primary='p', range_id='r', slot=0, key=key, digest='d', claim_id='c'
    )


@attrs.define(eq=False)
class LatePeer:
    """Reply to a claim with its key once the next claim has come.

    The claim before is then replied to twice, and the present one once.
    """

    earlier: list[Frame] = attrs.field(factory=list)

    async def serve(self, conn: ServerConnection) -> None:
        """Serve one link."""
        async for raw in conn:
            frame = decode_frame(raw)
            for reply in self._replies(frame):
                await conn.send(encode_frame(reply))

    def _replies(self, frame: Frame) -> list[Frame]:
        message = frame.message
        if isinstance(message, Hello):
            hello = HelloReply(
                vm='vm', incarnation='i', region='r', failure_domain='d'
            )
            return [_reply(frame, hello)]
        if isinstance(message, Heartbeat):
            return [_reply(frame, HeartbeatReply(phase='serving', offset=0))]
        if not isinstance(message, ClaimRequest):
            return []
        late = [*self.earlier, *self.earlier]
        own = _reply(frame, ClaimReply(decision=message.key))
        self.earlier = [own]
        return [*late, own] if late else []


def _reply(frame: Frame, message: Message) -> Frame:
    return Frame(0, frame.seq, message)


Scenario = Callable[[PeerLink], Awaitable[None]]


async def run_with_peer(scenario: Scenario) -> None:
    """Run a scenario with a link to a peer on loopback."""
    server = await serve(LatePeer().serve, '127.0.0.1', 0)
    port = next(iter(server.sockets)).getsockname()[1]
    link = PeerLink(
        f'127.0.0.1:{port}',
        Hello(vm='entry-1', incarnation='i'),
        'r',
        HEARTBEAT_S,
        PEER_TIMEOUT_S,
    )
    running = asyncio.create_task(link.run())
    try:
        async with asyncio.timeout(PEER_TIMEOUT_S):
            while not link.is_up:
                await asyncio.sleep(HEARTBEAT_S)
        await scenario(link)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        server.close()


class TestLateReplies(testtools.TestCase):
    """A reply belongs to one call for good, as no number is used again."""

    def test_reply_after_the_limit_of_its_call(self) -> None:
        """It comes, twice, while the next call waits."""
        asyncio.run(run_with_peer(self._call_three))

    async def _call_three(self, link: PeerLink) -> None:
        try:
            await link.call(make_claim('k0'), CALL_LIMIT_S)
        except WagtailforkError as exc:
            self.assertEqual('range_unreachable', exc.code.name)
        else:
            self.fail('a call without a reply succeeded')
        for key in ('k1', 'k2'):
            reply = await link.call(make_claim(key), CALL_LIMIT_S)
            self.assertEqual(ClaimReply(decision=key), reply)
