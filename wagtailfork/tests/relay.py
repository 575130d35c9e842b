"""A TCP relay that can close, refuse or silence connections."""

import asyncio
from typing import Final

import attrs

_CHUNK_BYTES: Final = 65536
_LINK_CHUNK_BYTES: Final = 4096  # so that a slow link is shared evenly


@attrs.define(eq=False)
class _Connection:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silent: bool = False


@attrs.define
class Relay:
    """Relay connections to a local port and inject network faults."""

    target_port: int
    port: int = 0
    refusing: bool = False
    unresponsive: bool = False
    # Shared by all connections in the order in which bytes are sent; what a
    # receiver gives up is sent all the same. No limit if 0.
    bytes_per_s: float = 0
    bytes_relayed: int = 0  # in both directions
    _connections: list[_Connection] = attrs.field(factory=list)
    _server: asyncio.Server | None = None
    _link: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def start(self) -> None:
        """Listen on ``port``; 0 selects a free one."""
        self._server = await asyncio.start_server(
            self._accept,
            '127.0.0.1',
            self.port,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Discard all further bytes on open connections; accept new ones."""
        for connection in self._connections:
            connection.silent = True

    def stop_responding(self) -> None:
        """Discard all further bytes, also on connections that are new."""
        self.unresponsive = True
        self.silence()

    def cut(self) -> None:
        """Abort the open connections and refuse new ones."""
        self.refusing = True
        for connection in self._connections:
            for writer in connection.writers:
                writer.transport.abort()
        self._connections = []

    def restore(self) -> None:
        """Accept new connections again."""
        self.refusing = False

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self.cut()
        self.bytes_per_s = 0
        async with self._link:
            # Those that wait for the link end now.
            await asyncio.sleep(0)
        if self._server is not None:
            self._server.close()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(
                '127.0.0.1',
                self.target_port,
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, upstream[1]), self.unresponsive)
        self._connections.append(connection)
        await asyncio.gather(
            self._pump(reader, upstream[1], connection),
            self._pump(upstream[0], writer, connection),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
    ) -> None:
        try:
            while chunk := await reader.read(self._chunk_bytes()):
                if connection.silent:
                    continue
                self.bytes_relayed += len(chunk)
                await self._occupy_link(len(chunk))
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        if not connection.silent:
            writer.close()

    def _chunk_bytes(self) -> int:
        return _LINK_CHUNK_BYTES if self.bytes_per_s else _CHUNK_BYTES

    async def _occupy_link(self, size: int) -> None:
        """Wait until a chunk has passed the link."""
        async with self._link:
            if self.bytes_per_s:
                await asyncio.sleep(size / self.bytes_per_s)
