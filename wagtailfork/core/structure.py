"""Validated conversion between plain JSON or CBOR values and attrs classes."""

from typing import Any, Final, TypeVar

import cattrs
from cattrs import Converter

from .errors import WagtailforkError
from .results import ResultCode

Value = TypeVar('Value')

_MAX_DETAIL_CHARS: Final = 200  # characters of a parse error kept in the detail


def _check_exact(kind: type) -> Any:
    def hook(raw: Any, _target: Any) -> Any:  # noqa: WPS430
        if type(raw) is not kind:  # noqa: WPS516
            raise TypeError(f'expected {kind.__name__}, got {raw!r}')
        return raw

    return hook


def _check_float(raw: Any, _target: Any) -> float:
    if isinstance(raw, bool) or not isinstance(raw, (int, float)):
        raise TypeError(f'expected a number, got {raw!r}')
    return float(raw)


def _make_converter() -> Converter:
    conv = Converter(forbid_extra_keys=True)
    for kind in (int, str, bool, bytes):
        conv.register_structure_hook(kind, _check_exact(kind))
        conv.register_unstructure_hook(kind, lambda plain: plain)
    conv.register_structure_hook(float, _check_float)
    return conv


_CONVERTER: Final = _make_converter()


def parse_plain(
    raw: Any,
    kind: type[Value],
    code: ResultCode,
) -> Value:
    """Build ``kind`` from plain values or raise an error with ``code``."""
    try:
        return _CONVERTER.structure(raw, kind)
    except cattrs.BaseValidationError as exc:
        lines = '; '.join(cattrs.transform_error(exc))
        raise WagtailforkError(code, lines[:_MAX_DETAIL_CHARS]) from exc
    except Exception as exc:
        # Malformed values can make the generated code raise any exception.
        raise WagtailforkError(code, repr(exc)[:_MAX_DETAIL_CHARS]) from exc


def render_plain(structured: Any) -> Any:
    """Convert an attrs value to plain dictionaries, lists and scalars."""
    return _CONVERTER.unstructure(structured)
