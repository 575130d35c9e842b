"""An answer while it is passed on from a backend server to its caller."""

import enum

import attrs
from aiohttp import ClientResponse

from ..claims.table import Answer
from ..routing.endpoint import Endpoint


class Ending(enum.StrEnum):
    """Say how the passing on of an answer ended."""

    whole = 'whole'
    broken = 'broken'  # by the backend server
    cancelled = 'cancelled'  # by the caller


@attrs.define(eq=False)
class Exchange:
    """Hold a backend server's answer while it is passed on."""

    endpoint: Endpoint
    response: ClientResponse
    sent_at: float
    first: bytes = b''  # the part of the body that is already read
    whole: bool = False  # whether ``first`` is the whole body

    async def read_first(self, limit: int) -> None:
        """Read the body up to a little over ``limit`` bytes."""
        first = bytearray()
        while len(first) <= limit:
            chunk = await self.response.content.readany()
            if not chunk:
                self.whole = True
                break
            first.extend(chunk)
        self.first = bytes(first)


@attrs.frozen
class Replay:
    """Hold the kept answer of a request that ran before."""

    answer: Answer
