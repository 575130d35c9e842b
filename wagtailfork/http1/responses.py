"""Responses of backend servers and errors of an exchange."""

import attrs

from .body import Body
from .headers import Header, header_value


class RequestNotSent(Exception):
    """Report that no byte of a request was sent, so it cannot have run."""


class ConnectionRefused(RequestNotSent):
    """Report that nothing listens at an address."""


class ResponseError(Exception):
    """Report that a request was sent and no complete response arrived."""


class InvalidStatus(ResponseError):
    """Report a response whose status is below 100."""

    def __init__(self, status: int) -> None:
        """Store the status."""
        super().__init__(f'invalid status {status:03}')
        self.status = status


@attrs.define(eq=False)
class BackendResponse:
    """Hold the head of a response and its body, which may be incomplete."""

    status: int
    headers: list[Header]
    body: Body
    # Whether the body ends where the connection does, also by a crash.
    until_close: bool = False

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header by its lower-case name."""
        return header_value(self.headers, name)

    def find_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header by its lower-case name."""
        return [value for key, value in self.headers if key.lower() == name]
