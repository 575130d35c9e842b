"""Append control records and wait for the result of folding them."""

import asyncio
import secrets
from typing import Any, Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from .fold import RecordResult
from .follower import Follower
from .log_client import CONTROL_STREAM, LogClient

_RETRY_S: Final = 0.5
_ID_BYTES: Final = 12


@attrs.define
class Publisher:
    """Append control records and wait until they are read back.

    The log's response is not enough: it can be lost although the record was
    appended, and only folding decides whether a record is accepted.
    """

    _client: LogClient
    _follower: Follower

    async def publish(
        self,
        kind: str,
        body: Any,
        wait_s: float,
        ident: str | None = None,
    ) -> tuple[int, RecordResult]:
        """Append a record; return its offset and result once it is folded.

        Raise ``log_unavailable`` after ``wait_s``: the record may still take
        effect, and publishing it again with the same ``ident`` is safe.
        """
        ident = ident or secrets.token_hex(_ID_BYTES)
        record = {'id': ident, 'kind': kind, 'body': body}
        fut = self._follower.watch_record(ident)
        appender = asyncio.create_task(self._append_with_retry(record, fut))
        try:
            async with asyncio.timeout(wait_s):
                return await asyncio.shield(fut)
        except TimeoutError as exc:
            raise WagtailforkError(
                ResultCode.log_unavailable,
                f'record {ident} not read back from the log within {wait_s} s',
            ) from exc
        finally:
            appender.cancel()
            self._follower.unwatch_record(ident)

    async def _append_with_retry(
        self,
        record: dict[str, Any],
        fut: asyncio.Future[Any],
    ) -> None:
        while not fut.done():
            try:
                await self._client.append(CONTROL_STREAM, record)
            except WagtailforkError:
                await asyncio.sleep(_RETRY_S)
                continue
            # The record is in the log; the follower has yet to read it.
            return
