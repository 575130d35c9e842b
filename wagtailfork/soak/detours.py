"""Run the program with some addresses reached by way of others.

Started as a script with a file of detours and the arguments of the program,
so that the program is imported from the tree that is to run.
"""

import json
import pathlib
import runpy
import sys
from collections.abc import Callable
from typing import Any, Final

import uvloop

Address = tuple[str, int]
_WAYS: Final[dict[Address, Address]] = {}


class _DetourTransport:
    """Send datagrams by the detours."""

    def __init__(self, transport: Any) -> None:
        """Set the transport that sends."""
        self._transport = transport

    def sendto(self, raw: bytes, address: Address) -> None:
        """Send one datagram."""
        self._transport.sendto(raw, _WAYS.get(address, address))

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()


class _DetourLoop(uvloop.Loop):
    """Open connections and send datagrams by the detours."""

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Open a connection."""
        host, port = _WAYS.get((host, port), (host, port))
        return await super().create_connection(factory, host, port, **options)

    async def create_datagram_endpoint(  # type: ignore[override]
        self, factory: Callable[[], Any], **options: Any
    ) -> Any:
        """Open a socket for datagrams."""
        protocol = factory()
        made = protocol.connection_made
        protocol.connection_made = lambda transport: made(
            _DetourTransport(transport)
        )
        return await super().create_datagram_endpoint(
            lambda: protocol, **options
        )


def _split(address: str) -> Address:
    host, _, port = address.rpartition(':')
    return host, int(port)


def main() -> None:
    """Read the detours and run the program."""
    _, path, *args = sys.argv
    raw = json.loads(pathlib.Path(path).read_text(encoding='utf-8'))
    _WAYS.update({_split(one): _split(way) for one, way in raw.items()})
    uvloop.new_event_loop = _DetourLoop
    sys.argv = ['wagtailfork', *args]
    runpy.run_module('wagtailfork', run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
