"""Stream a large upload without holding it."""

import asyncio
import pathlib
from collections.abc import AsyncIterator

import testtools

from .rig import Entry, Rig

UPLOAD_MB = 200
GROWTH_LIMIT_KB = 16 * 1024  # issue 3's bound
BACKEND_KB_PER_S = 40_000


async def upload_body() -> AsyncIterator[bytes]:
    """Give the body in pieces of a megabyte."""
    for _piece in range(UPLOAD_MB):
        yield bytes(1 << 20)


def resident_kb(entry: Entry) -> int:
    """Read how much memory an entry VM's process holds."""
    assert entry.proc is not None
    status = pathlib.Path(f'/proc/{entry.proc.pid}/status').read_text()
    line = next(it for it in status.splitlines() if it.startswith('VmRSS'))
    return int(line.split()[1])


class StreamingTest(testtools.TestCase):
    """Send much to a server that reads slowly."""

    def test_upload_is_not_held(self) -> None:
        """Grow by less than the bound while the body passes through."""
        asyncio.run(self._upload())

    async def _upload(self) -> None:
        async with Rig(entries_wanted=1, backends_wanted=1) as rig:
            entry = rig.entries[0]
            await rig.behave(0, read_kb_per_s=BACKEND_KB_PER_S)
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
