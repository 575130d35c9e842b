"""Append a record and learn its verdict, though answers may be lost."""

import asyncio
import secrets
from typing import Any, Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from .fold import Verdict
from .follower import Follower
from .log_client import CONTROL_STREAM, LogClient

_RETRY_S: Final = 0.5
_ID_BYTES: Final = 12


@attrs.define
class Publisher:
    """Append control records; the fold, not the answer, is what counts."""

    _client: LogClient
    _follower: Follower

    async def publish(
        self,
        kind: str,
        body: Any,
        wait_s: float,
        ident: str | None = None,
    ) -> tuple[int, Verdict]:
        """Append until the record is seen in the fold; give its verdict.

        Raise ``log_unavailable`` after ``wait_s``: the record may still take
        effect, and publishing it again with the same ``ident`` is safe.
        """
        ident = ident or secrets.token_hex(_ID_BYTES)
        record = {'id': ident, 'kind': kind, 'body': body}
        seen = self._follower.expect(ident)
        appender = asyncio.create_task(self._append_until(record, seen))
        try:
            async with asyncio.timeout(wait_s):
                return await asyncio.shield(seen)
        except TimeoutError as exc:
            raise WagtailforkError(
                ResultCode.log_unavailable,
                f'record {ident} not seen in the log within {wait_s} s',
            ) from exc
        finally:
            appender.cancel()
            self._follower.forget(ident)

    async def _append_until(
        self,
        record: dict[str, Any],
        seen: asyncio.Future[Any],
    ) -> None:
        while not seen.done():
            try:
                await self._client.append(CONTROL_STREAM, record)
            except WagtailforkError:
                await asyncio.sleep(_RETRY_S)
                continue
            # Appended for certain: only the follower still has to reach it.
            return
