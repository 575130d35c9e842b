"""A TCP relay that can cut connections or let them go silent."""

import asyncio

import attrs


@attrs.define(eq=False)
class _Pair:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silent: bool = False


@attrs.define
class Relay:
    """Pass bytes to a target until told otherwise."""

    target_port: int
    port: int = 0
    refusing: bool = False
    passed: int = 0  # bytes, both ways
    _pairs: list[_Pair] = attrs.field(factory=list)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._accept,
            '127.0.0.1',
            self.port,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Pass nothing more on the connections open now; new ones work."""
        for pair in self._pairs:
            pair.silent = True

    def cut(self) -> None:
        """Close the open connections and refuse new ones."""
        self.refusing = True
        for pair in self._pairs:
            for writer in pair.writers:
                writer.transport.abort()
        self._pairs = []

    def mend(self) -> None:
        """Let new connections pass again."""
        self.refusing = False

    async def close(self) -> None:
        """Stop listening and drop everything."""
        self.cut()
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
            there = await asyncio.open_connection(
                '127.0.0.1',
                self.target_port,
            )
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair((writer, there[1]))
        self._pairs.append(pair)
        await asyncio.gather(
            self._pump(reader, there[1], pair),
            self._pump(there[0], writer, pair),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: _Pair,
    ) -> None:
        try:
            while chunk := await reader.read(1 << 16):
                if pair.silent:
                    continue
                self.passed += len(chunk)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        if not pair.silent:
            writer.close()
