"""Test that a large upload is streamed without being buffered."""

import asyncio
import pathlib
from collections.abc import AsyncIterator

import testtools

from .rig import Entry, Rig

UPLOAD_MB = 200
GROWTH_LIMIT_KB = 16 * 1024  # issue 3's bound
BACKEND_KB_PER_S = 40_000


async def upload_body() -> AsyncIterator[bytes]:
    """Yield the body in chunks of one mebibyte."""
    for _chunk in range(UPLOAD_MB):
        yield bytes(1 << 20)


def resident_kb(entry: Entry) -> int:
    """Return the resident memory of an entry VM's process."""
    assert entry.proc is not None
    status = pathlib.Path(f'/proc/{entry.proc.pid}/status').read_text()
    line = next(it for it in status.splitlines() if it.startswith('VmRSS'))
    return int(line.split()[1])


class StreamingTest(testtools.TestCase):
    """Upload a large body to a server that reads slowly."""

    def test_upload_is_not_buffered(self) -> None:
        """Keep memory growth below the bound during the upload."""
        asyncio.run(self._upload())

    async def _upload(self) -> None:
        async with Rig(entry_count=1, backend_count=1) as rig:
            entry = rig.entries[0]
            await rig.set_behaviour(0, read_kb_per_s=BACKEND_KB_PER_S)
            await rig.call(entry, 'PUT', body=bytes(100_000))
            before = resident_kb(entry)
            sending = asyncio.create_task(
                rig.call(entry, 'PUT', body=upload_body()),
            )
            highest = before
            while not sending.done():
                highest = max(highest, resident_kb(entry))
                await asyncio.sleep(0.05)
            reply = await sending
            self.assertEqual('ran', reply.kind)
            self.assertEqual(UPLOAD_MB << 20, reply.json()['body_bytes'])
            self.assertLess(highest - before, GROWTH_LIMIT_KB)
