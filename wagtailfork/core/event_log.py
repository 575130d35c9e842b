"""Rate-limited, non-blocking logging of events to standard output."""

import os
import time
from collections import deque
from typing import Any, Final

import attrs

from .clock import now_s

_STDOUT: Final = 1
# These two bound the memory used while the reader of the output stalls.
_MAX_BUFFERED_LINES: Final = 2000
_MAX_UNWRITTEN_BYTES: Final = 200000
# Overdraft of the token bucket for important events, as a fraction of a
# second's lines: they are still written when other lines are dropped.
IMPORTANT_OVERDRAFT: Final = 0.75
_NEEDS_QUOTES: Final = frozenset(' "=\n')


def render_pair(key: str, plain: Any) -> str:
    r"""Render one key=value pair of a log line.

    >>> render_pair('age_ms', 1.26), render_pair('why', 'no slot')
    ('age_ms=1.3', 'why="no slot"')
    >>> print(render_pair('zone', 'a\r\udfff'))
    zone="a\r\udfff"
    """
    if isinstance(plain, float):
        return f'{key}={plain:.1f}'
    text = str(plain)
    if text.isprintable() and _NEEDS_QUOTES.isdisjoint(text):
        return f'{key}={text}'
    quoted = text.replace('"', "'").replace('\n', ' ')
    if not quoted.isprintable():
        # Control characters could fake a line, surrogates cannot be encoded.
        quoted = quoted.encode('unicode_escape').decode('ascii')
    return f'{key}="{quoted}"'


@attrs.define
class EventLog:
    """Write one line of key=value pairs for each event, limited in rate.

    Lines beyond ``lines_per_s``, and lines that do not fit the buffers while
    the reader stalls, are dropped and counted in ``dropped_lines``. Important
    events may exceed the limit by three quarters of a second's lines.
    """

    lines_per_s: float = 200
    vm: str = ''
    fd: int = _STDOUT
    dropped_lines: int = 0
    _lines: deque[bytes] = attrs.field(factory=deque)
    _tokens: float = 0
    _refilled_at: float = 0
    _unwritten: bytes = b''
    _reported_dropped_lines: int = 0

    def __attrs_post_init__(self) -> None:
        """Fill the token bucket and make the descriptor non-blocking."""
        self._tokens = self.lines_per_s
        os.set_blocking(self.fd, False)  # noqa: WPS425

    def emit(
        self, event: str, *, important: bool = False, **pairs: Any
    ) -> None:
        """Buffer one line, or drop and count it if a limit is reached."""
        if not self._take_token(important=important):
            self.dropped_lines += 1
            return
        rendered = [render_pair(key, plain) for key, plain in pairs.items()]
        self._lines.append(self._format_line(event, rendered))

    def flush(self) -> None:
        """Write as many buffered bytes as possible without blocking."""
        if self.dropped_lines > self._reported_dropped_lines:
            newly_dropped = self.dropped_lines - self._reported_dropped_lines
            count = render_pair('count', newly_dropped)
            self._lines.append(self._format_line('lines_left_out', [count]))
            self._reported_dropped_lines = self.dropped_lines
        payload = self._unwritten + b''.join(self._lines)
        self._lines.clear()
        if not payload:
            return
        try:
            written = os.write(self.fd, payload)
        except BlockingIOError:
            written = 0
        except OSError:
            # The output is closed; there is no other place to report it.
            written = len(payload)
        self._unwritten = payload[written:]

    def _format_line(self, event: str, rendered: list[str]) -> bytes:
        prefix = f'at={time.time():.3f} vm={self.vm} event={event}'
        return f'{" ".join([prefix, *rendered])}\n'.encode()

    def _take_token(self, *, important: bool) -> bool:
        now = now_s()
        refilled = self._tokens + (now - self._refilled_at) * self.lines_per_s
        self._tokens = min(self.lines_per_s, refilled)
        self._refilled_at = now
        min_tokens = -IMPORTANT_OVERDRAFT * self.lines_per_s if important else 0
        if len(self._lines) >= _MAX_BUFFERED_LINES or self._tokens < min_tokens:
            return False
        if len(self._unwritten) > _MAX_UNWRITTEN_BYTES:
            return False
        self._tokens -= 1
        return True
