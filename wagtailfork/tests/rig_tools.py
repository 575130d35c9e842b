"""Ports, waits and replies for the rig."""

import asyncio
import itertools
import json
import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

HOST = '127.0.0.1'
READY_S = 20.0
STEP_S = 0.05
_FIRST_PORT = 12000
_PORTS = 18000  # below the range from which the system picks by itself
_ports = itertools.count(os.getpid() * 101)


def free_port() -> int:
    """Find a port that nothing listens on and no client will be given."""
    while True:
        port = _FIRST_PORT + next(_ports) % _PORTS
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port


async def until(
    check: Callable[[], Awaitable[bool]],
    limit_s: float = READY_S,
) -> None:
    """Wait until a check holds, or raise TimeoutError."""
    async with asyncio.timeout(limit_s):
        while not await check():
            await asyncio.sleep(STEP_S)


@attrs.frozen
class Reply:
    """Hold what a caller got; status 0 stands for a lost connection."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def kind(self) -> str:
        """Name the class of the result, 'lost' where no answer came."""
        text = self.headers.get('wagtailfork-result', '')
        return text.partition(' ')[2] or 'lost'

    @property
    def code(self) -> int:
        """Give the numbered result, 0 where no answer came."""
        text = self.headers.get('wagtailfork-result', '0')
        return int(text.partition(' ')[0])

    def json(self) -> Any:
        """Parse the body."""
        return json.loads(self.body)


async def is_open(port: int) -> bool:
    """Tell whether something listens on a port."""
    try:
        _reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    writer.close()
    return True
