"""Read a configuration document that has not been sent yet."""

import hashlib
import json
import secrets
from collections.abc import Mapping
from typing import Any, Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..routing.configuration_check import CheckedConfiguration
from ..routing.customers import MAX_KEY_BYTES
from .documents import decode_configuration

_SECRET: Final = secrets.token_bytes(32)  # noqa: WPS432 - longest useful key


@attrs.define
class _NameCollector:
    """Collect names that an object has twice, as the parser keeps one."""

    repeated: list[str] = attrs.field(factory=list)

    def collect(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Return the object of these pairs."""
        found: dict[str, Any] = {}
        for name, member in pairs:
            if name in found:
                self.repeated.append(name)
            found[name] = member
        return found


def read_configuration_file(raw: bytes) -> CheckedConfiguration:
    """Decode a document; raise ``record_malformed`` without its text.

    The decoder quotes a document that it cannot parse, which may have keys.
    """
    collector = _NameCollector()
    try:
        document = json.loads(raw, object_pairs_hook=collector.collect)
    except json.JSONDecodeError as exc:
        raise _malformed(f'line {exc.lineno}: {exc.msg}') from None
    except (ValueError, RecursionError) as exc:
        raise _malformed(type(exc).__name__) from None
    if not isinstance(document, dict):
        raise _malformed('not a JSON object')
    tenants = document.get('tenants') or {}
    _reject_surrogates(tenants)
    decoded = decode_configuration(raw)
    customers = {one.name: one for one in decoded.customers or ()}
    return CheckedConfiguration(
        version=decoded.version,
        routes=decoded.routes,
        services=decoded.services,
        limits=decoded.limits,
        customers=customers,
        keys={name: _read_digests(tenants[name]) for name in customers},
        unreadable=tuple(name for name in tenants if name not in customers),
        repeated=tuple(collector.repeated),
    )


def _reject_surrogates(tenants: Any) -> None:
    """Reject keys that have no bytes, which an error would quote."""
    try:
        json.dumps(tenants, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        raise _malformed('tenants: invalid characters') from None


def _read_digests(fields: Mapping[str, Any]) -> frozenset[bytes]:
    usable = [
        key.encode()
        for key in fields.get('apiKeys') or ()
        if isinstance(key, str)
    ]
    return frozenset(
        hashlib.blake2b(key, key=_SECRET).digest()
        for key in usable
        if 0 < len(key) <= MAX_KEY_BYTES
    )


def _malformed(detail: str) -> WagtailforkError:
    return WagtailforkError(ResultCode.record_malformed, detail)
