"""Port allocation, waiting and replies for the rig."""

import asyncio
import fcntl
import itertools
import json
import os
import pathlib
import socket
import tempfile
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

HOST = '127.0.0.1'
WAIT_LIMIT_S = 20.0
POLL_S = 0.05
SEGMENT_BYTES = 1448  # of an ordinary link
WINDOW_BYTES = 4096
# None that the kernel gives to outgoing connections (32768 to 60999), and none
# that the stand-ins of review/ draw (12000 to 31999).
_PORTS = (*range(2000, 12000), *range(61000, 65536))
_port_offsets = itertools.count(os.getpid() * 101)


_LOCK_FILE = pathlib.Path(tempfile.gettempdir(), 'wagtailfork-test-ports')
# Open until the process ends, which releases its locks.
_port_locks = _LOCK_FILE.open('ab')


def _reserve(port: int) -> bool:
    """Lock the byte of a port, so that no other run of tests takes it."""
    try:
        fcntl.lockf(_port_locks, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_port() -> int:
    """Return an unused port that no outgoing connection gets.

    No other process gets it from this function while this process runs.
    """
    while True:
        port = _PORTS[next(_port_offsets) % len(_PORTS)]
        if not _reserve(port):
            continue
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port


async def wait_until(
    check: Callable[[], Awaitable[bool]],
    limit_s: float = WAIT_LIMIT_S,
) -> None:
    """Wait until a check returns true; raise TimeoutError after the limit."""
    async with asyncio.timeout(limit_s):
        while not await check():
            await asyncio.sleep(POLL_S)


@attrs.frozen
class Reply:
    """Hold a caller's reply; status 0 means that the connection was lost."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def kind(self) -> str:
        """Return the class of the result, or 'lost' without a reply."""
        text = self.headers.get('wagtailfork-result', '')
        return text.partition(' ')[2] or 'lost'

    @property
    def code(self) -> int:
        """Return the numbered result code, or 0 without a reply."""
        text = self.headers.get('wagtailfork-result', '0')
        return int(text.partition(' ')[0])

    def json(self) -> Any:
        """Parse the body as JSON."""
        return json.loads(self.body)


async def is_listening(port: int) -> bool:
    """Return whether a process listens on a port."""
    try:
        _reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    writer.close()
    return True


async def open_narrow(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect over a link that holds little of what is not read."""
    host, _, port = address.rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=WINDOW_BYTES)
