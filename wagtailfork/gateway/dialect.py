"""What a gateway must know of messages, whatever their headers are called."""

from typing import Protocol

import attrs

from ..http1.answers import Answer
from ..http1.headers import Header
from ..http1.request import CallerRequest
from ..routing.load import LoadReport


@attrs.frozen(kw_only=True)
class RequestFacts:
    """Say what a caller told of its request."""

    request_id: str
    deadline_s: float | None = None


@attrs.frozen(kw_only=True)
class AnswerFacts:
    """Say what a backend server told with its answer."""

    request_id: str | None = None
    signed: bool = False
    not_run: bool = False
    other_server: bool = False  # another server has this address now
    encoded: bool = False
    server: str | None = None
    load: LoadReport | None = None


class Dialect(Protocol):
    """Name headers and read them."""

    def read_request(self, req: CallerRequest) -> RequestFacts:
        """Read what the caller told."""

    def read_answer(self, answer: Answer) -> AnswerFacts:
        """Read what the backend server told."""

    def render_request(
        self,
        req: CallerRequest,
        left_s: float,
        server: str,
    ) -> bytes:
        """Render the head of a request to a backend server."""

    def answer_headers(self, answer: Answer) -> list[Header]:
        """Give the headers of an answer that go to the caller."""

    def refusal_headers(
        self, code: int, retry_after_s: float | None
    ) -> list[Header]:
        """Give the headers of an answer of our own."""
