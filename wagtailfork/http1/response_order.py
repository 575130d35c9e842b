"""Order of the responses to requests that one connection serves at once."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from .request import CallerRequest

MAX_OVERLAPPING: Final = 8  # requests of a connection that run side by side
# Of responses that wait for earlier ones; a larger one waits in its handler.
HELD_LIMIT_BYTES: Final = 524288


@attrs.define(eq=False)
class Turn:
    """Hold a started request and the bytes of its response that wait."""

    req: CallerRequest
    task: 'asyncio.Task[None] | None' = None
    response_ended: bool = False
    aborted: bool = False
    handled: bool = False  # its handler has ended
    held: list[bytes] = attrs.field(factory=list)
    reached: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define(eq=False)
class ResponseOrder:
    """Write each response after those to the requests before it.

    >>> sent = []
    >>> order = ResponseOrder(sent.append)
    >>> first, second = CallerRequest(None, 0), CallerRequest(None, 0)
    >>> for req in (first, second):
    ...     turn = order.open(req)
    >>> order.write(second, b'2')
    >>> order.write(first, b'1')
    >>> sent, order.held_bytes
    ([b'1'], 1)
    >>> order.end_response(first)
    >>> order.finish(first)
    >>> sent, order.held_bytes
    ([b'1', b'2'], 0)
    """

    _write: Callable[[bytes], None]
    closing: bool = False  # the last response closes the connection
    held_bytes: int = 0
    _turns: deque[Turn] = attrs.field(factory=deque)

    def __len__(self) -> int:
        """Count the open requests."""
        return len(self._turns)

    @property
    def front(self) -> Turn | None:
        """Return the turn whose response may be written."""
        return self._turns[0] if self._turns else None

    def may_overlap(self, req: CallerRequest) -> bool:
        """Return whether a request may start beside the open ones."""
        if self.closing or len(self._turns) >= MAX_OVERLAPPING:
            return False
        if not req.overlaps or not req.body.kept:
            return False
        return all(turn.req.overlaps for turn in self._turns)

    def open(self, req: CallerRequest) -> Turn:
        """Append a request that starts."""
        turn = Turn(req)
        if not self._turns:
            turn.reached.set()
        self._turns.append(turn)
        return turn

    def is_open(self, req: CallerRequest | None) -> bool:
        """Return whether a request was started and has not ended."""
        return any(turn.req is req for turn in self._turns)

    def is_last(self, req: CallerRequest) -> bool:
        """Return whether no request behind this one was started."""
        return bool(self._turns) and self._turns[-1].req is req

    def write(self, req: CallerRequest, raw: bytes) -> None:
        """Write a part of a response, or hold it until its turn."""
        turn = self._find(req)
        if turn is None:
            return
        if turn.reached.is_set():
            self._write(raw)
            return
        turn.held.append(raw)
        self.held_bytes += len(raw)

    async def wait_to_write(self, req: CallerRequest, size: int) -> None:
        """Wait for the turn of a request unless so many bytes may be held."""
        if self.held_bytes + size > HELD_LIMIT_BYTES:
            await self.wait_turn(req)

    async def wait_turn(self, req: CallerRequest) -> None:
        """Wait until the response to a request may be written."""
        turn = self._find(req)
        if turn is not None:
            await turn.reached.wait()

    def end_response(self, req: CallerRequest) -> None:
        """Record that a response is complete."""
        turn = self._find(req)
        if turn is not None:
            turn.response_ended = True

    def abort(self, req: CallerRequest) -> None:
        """Let the responses before this request's be the last ones."""
        turn = self._find(req)
        if turn is None:
            return
        self.close_after(req)
        if turn.reached.is_set():
            turn.aborted = True
        else:
            self._release(self._turns.pop())

    def close_after(self, req: CallerRequest) -> None:
        """Cancel the requests behind one that closes the connection."""
        if not self.is_open(req):
            return
        self.closing = True
        while self._turns and not self.is_last(req):
            self._drop(self._turns.pop())

    def finish(self, req: CallerRequest) -> None:
        """Pass the turn on once the handlers of the first requests ended."""
        turn = self._find(req)
        if turn is None:
            return
        if not turn.response_ended:
            self.abort(req)
        turn.handled = True
        while self._turns and self._turns[0].handled:
            if self._turns[0].aborted:
                # The owner aborts the connection.
                return
            self._turns.popleft()
            self._write_held()

    def cancel_all(self) -> None:
        """Cancel every request, as the caller has disconnected."""
        while self._turns:
            self._drop(self._turns.pop())

    def _find(self, req: CallerRequest) -> Turn | None:
        for turn in self._turns:
            if turn.req is req:
                return turn
        return None

    def _drop(self, turn: Turn) -> None:
        self._release(turn)
        if turn.task is not None:
            turn.task.cancel()

    def _release(self, turn: Turn) -> None:
        self.held_bytes -= sum(map(len, turn.held))
        turn.held.clear()
        turn.req.body.release()

    def _write_held(self) -> None:
        """Write what the first response has ready."""
        turn = self.front
        if turn is None:
            return
        turn.reached.set()
        for raw in turn.held:
            self._write(raw)
        self._release(turn)
