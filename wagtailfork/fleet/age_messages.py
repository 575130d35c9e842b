"""Messages that carry the age of a configuration between VMs."""

from typing import Any, Final

import attrs

from .position import Edition
from .wire_values import as_address, as_count

_REQUEST_KIND: Final = 20
_REPORT_KIND: Final = 21


@attrs.frozen
class AgeRequest:
    """Ask a VM how old the confirmation of its configuration is."""

    sender: str
    number: int

    def render(self) -> list[Any]:
        """Return the wire form."""
        return [_REQUEST_KIND, self.sender, self.number]


@attrs.frozen
class AgeReport:
    """Report that no configuration newer than ``edition`` existed then.

    The age counts from the time at which the report was written.
    """

    number: int
    age_ms: int
    edition: Edition

    def render(self) -> list[Any]:
        """Return the wire form."""
        edition = self.edition
        row = [_REPORT_KIND, self.number, self.age_ms]
        return [*row, edition.version, edition.era]


AgeMessage = AgeRequest | AgeReport


def _parse_request(parts: list[Any]) -> AgeRequest:
    sender, number = parts
    return AgeRequest(as_address(sender), as_count(number))


def _parse_report(parts: list[Any]) -> AgeReport:
    number, age_ms, version, era = map(as_count, parts)
    return AgeReport(number, age_ms, Edition(version, era))


AGE_PARSERS: Final[dict[int, Any]] = {
    _REQUEST_KIND: _parse_request,
    _REPORT_KIND: _parse_report,
}
