"""An HTTP server based on uvicorn that installs no signal handlers."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any, Final

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .address import split_address
from .errors import WagtailforkError
from .results import ResultCode

TRANSPORT_KEY: Final = 'wagtailfork.transport'
_BACKLOG: Final = 1024
_KEEP_ALIVE_S: Final = 75
_STOP_POLL_S: Final = 0.05


class TransportProtocol(HttpToolsProtocol):
    """Give the application access to its transport, so it can abort it."""

    def on_message_begin(self) -> None:
        """Add the transport to the scope of the next request."""
        super().on_message_begin()
        scope: Any = self.scope
        scope[TRANSPORT_KEY] = self.transport


class _NoSignalsServer(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers unchanged."""
        yield


def bind(address: str) -> socket.socket:
    """Bind a listening socket or raise ``address_in_use``."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError as exc:
        sock.close()
        raise WagtailforkError(
            ResultCode.address_in_use,
            f'{address}: {exc.strerror}',
        ) from exc
    sock.listen(_BACKLOG)
    sock.setblocking(False)  # noqa: WPS425
    return sock


class HttpServer:
    """Serve one ASGI application on one socket."""

    def __init__(self, app: Any, sock: socket.socket) -> None:
        """Configure the server; ``run`` starts it."""
        cfg = uvicorn.Config(
            app,
            http=TransportProtocol,
            log_config=None,
            access_log=False,
            proxy_headers=False,
            lifespan='off',
            server_header=False,
            date_header=False,
            timeout_keep_alive=_KEEP_ALIVE_S,
        )
        self._server = _NoSignalsServer(cfg)
        self._sock = sock

    async def run(self) -> None:
        """Serve until stopped or cancelled."""
        await self._server.serve(sockets=[self._sock])

    async def stop(self) -> None:
        """Stop accepting connections and wait for open requests to finish."""
        self._server.should_exit = True
        while self._server.started and self._server.server_state.tasks:
            await asyncio.sleep(_STOP_POLL_S)
