"""Parse the lines of a gateway's log: one event each, in key=value pairs."""

import re
from collections.abc import Mapping
from typing import Final

import attrs

_KEY_AND_VALUE: Final = re.compile(r'([a-z_]+)=("[^"]*"|\S*)')
_START: Final = 'at='


@attrs.frozen
class LogLine:
    """Hold one event; ``at_s`` is the VM's wall-clock time in seconds."""

    at_s: float
    vm: str
    event: str
    fields: Mapping[str, str]

    def read_float(self, key: str) -> float | None:
        """Return a field as a float; None if it is missing or not numeric.

        >>> parse_line('at=1.5 vm=a event=sent ms=3').read_float('ms')
        3.0
        """
        try:
            return float(self.fields[key])
        except (KeyError, ValueError):
            return None

    def render(self) -> str:
        """Render the event and its fields as readable text."""
        rendered = [f'{key}={value}' for key, value in self.fields.items()]
        return ' '.join([self.event, *rendered])


def parse_line(text: str) -> LogLine | None:
    """Parse one line, ignoring any text before ``at=``.

    Return None for a line without an event.

    >>> parse_line('front-1 | at=2.0 vm=a event=refused id=r1 why="no room"')
    ... # doctest: +NORMALIZE_WHITESPACE
    LogLine(at_s=2.0, vm='a', event='refused',
            fields={'id': 'r1', 'why': 'no room'})
    >>> parse_line('Traceback (most recent call last):') is None
    True
    """
    start = text.find(_START)
    if start < 0:
        return None
    fields = {
        key: value.strip('"')
        for key, value in _KEY_AND_VALUE.findall(text[start:])
    }
    try:
        at_s = float(fields.pop('at'))
    except (KeyError, ValueError):
        return None
    event = fields.pop('event', None)
    if event is None:
        return None
    return LogLine(at_s, fields.pop('vm', ''), event, fields)
