"""Responses of backend servers while they are relayed to callers."""

import asyncio
import enum

import attrs
from aiohttp import ClientResponse

from ..claims.table import StoredResponse
from ..routing.budget import LinkBudget
from ..routing.endpoint import Endpoint
from ..routing.upstream import STALL_TIMEOUT_S


class EndReason(enum.StrEnum):
    """Describe how the relay of a response ended."""

    whole = 'whole'
    broken = 'broken'  # the backend server closed the connection early
    stalled = 'stalled'  # the backend server stopped sending
    cancelled = 'cancelled'  # by the caller, or another copy responded first


@attrs.define(eq=False)
class Exchange:
    """Hold a backend server's response while it is relayed."""

    endpoint: Endpoint
    response: ClientResponse
    sent_at: float
    fingerprint: str = ''
    far_link: LinkBudget | None = None  # set if the response crosses regions
    buffered: bytes = b''  # start of the body, already read
    is_complete: bool = False  # ``buffered`` is the whole body

    async def read_chunk(self) -> bytes:
        """Read the next body chunk; empty at the end of the body.

        Raise TimeoutError if the server sends nothing for
        ``STALL_TIMEOUT_S``.
        """
        async with asyncio.timeout(STALL_TIMEOUT_S):
            chunk = await self.response.content.readany()
        if self.far_link is not None:
            await self.far_link.pay(len(chunk))
        return chunk

    async def buffer_body(self, limit: int) -> None:
        """Buffer body chunks until they exceed ``limit`` bytes or end."""
        buffered = bytearray()
        while len(buffered) <= limit:
            chunk = await self.read_chunk()
            if not chunk:
                self.is_complete = True
                break
            buffered.extend(chunk)
        self.buffered = bytes(buffered)


@attrs.frozen
class Replay:
    """Hold the stored response of a request that already ran."""

    response: StoredResponse


def classify_read_error(exc: Exception) -> EndReason:
    """Return whether a failed read means a stall or a broken connection."""
    return (
        EndReason.stalled if isinstance(exc, TimeoutError) else EndReason.broken
    )
