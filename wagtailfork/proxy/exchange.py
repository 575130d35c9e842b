"""An answer while it is passed on from a backend server to its caller."""

import asyncio
import enum

import attrs
from aiohttp import ClientResponse

from ..claims.table import Answer
from ..routing.budget import LinkBudget
from ..routing.endpoint import Endpoint
from ..routing.upstream import STALL_TIMEOUT_S


class Ending(enum.StrEnum):
    """Say how the passing on of an answer ended."""

    whole = 'whole'
    broken = 'broken'  # by the backend server
    stalled = 'stalled'  # the backend server went silent
    cancelled = 'cancelled'  # by the caller


@attrs.define(eq=False)
class Exchange:
    """Hold a backend server's answer while it is passed on."""

    endpoint: Endpoint
    response: ClientResponse
    sent_at: float
    fingerprint: str = ''
    far_link: LinkBudget | None = None  # where the answer crosses regions
    first: bytes = b''  # the part of the body that is already read
    whole: bool = False  # whether ``first`` is the whole body

    async def read_chunk(self) -> bytes:
        """Read what has come of the body; empty at its end.

        Raise TimeoutError when the server has gone silent within it.
        """
        async with asyncio.timeout(STALL_TIMEOUT_S):
            chunk = await self.response.content.readany()
        if self.far_link is not None:
            await self.far_link.pay(len(chunk))
        return chunk

    async def read_first(self, limit: int) -> None:
        """Read the body up to a little over ``limit`` bytes."""
        first = bytearray()
        while len(first) <= limit:
            chunk = await self.read_chunk()
            if not chunk:
                self.whole = True
                break
            first.extend(chunk)
        self.first = bytes(first)


@attrs.frozen
class Replay:
    """Hold the kept answer of a request that ran before."""

    answer: Answer


def ending_of(exc: Exception) -> Ending:
    """Tell a server that fell silent from one that broke its answer off."""
    return Ending.stalled if isinstance(exc, TimeoutError) else Ending.broken
