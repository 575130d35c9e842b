"""Headers of callers and backend servers on the platform."""

import math
from typing import Final

import attrs

from ..gateway.dialect import RequestMetadata, ResponseMetadata
from ..http1.headers import Header, end_to_end, header_value, render_head
from ..http1.request import CallerRequest
from ..http1.responses import BackendResponse
from ..routing.load import LoadReport, report_now
from ..routing.server_limit import NO_LIMIT

_MS_PER_S: Final = 1000
_MISDIRECTED: Final = 421
_PERCENT: Final = 100
_DEFAULT_PERCENT: Final = b'100'
_COUNT_FIELDS: Final = 3
_MAX_FIGURE: Final = 1000000  # a larger one, or a negative one, is an error
_MIN_SLOWNESS: Final = 0.1

_REQUEST_ID: Final = b'request-id'
_DEADLINE: Final = b'request-deadline-ms'
_TARGET: Final = b'target-instance'
_SIGNATURE: Final = b'server-signature'
_NOT_EXECUTED: Final = b'not-executed'
_LOAD: Final = b'server-load'
_LIMIT: Final = b'server-limit'
_INSTANCE: Final = b'instance-id'
_LEAVING: Final = b'server-leaving'
_WARM_UP: Final = b'warmup-ms'
_RETRY_AFTER: Final = b'retry-after'
_UNAVAILABLE: Final = 503
# Callers take these for a promise that the request has not run and never will.
_DENY_RUN: Final = frozenset((408, _MISDIRECTED, 429, _UNAVAILABLE))
_MIN_FAILURE: Final = 400
_MIN_SERVER_FAILURE: Final = 500
_DENIALS: Final = frozenset((b'', b'0', b'false', b'no'))
_MAX_WAIT_S: Final = 86400.0  # a day; a longer one is an error of the server

_KEY: Final = b'x-api-key'
_CUSTOMER: Final = b'tenant'
_FROM_CALLER: Final = frozenset((_DEADLINE, _TARGET))
_FROM_CUSTOMER: Final = _FROM_CALLER | {_KEY, _CUSTOMER}
_FROM_SERVER: Final = frozenset(
    (_LOAD, _LIMIT, _INSTANCE, _NOT_EXECUTED, _LEAVING)
)


def parse_load_report(text: bytes) -> LoadReport | None:
    """Parse a load report: three counts and, optionally, slowness in percent.

    >>> report = parse_load_report(b'3,1,4,250')
    >>> report.running, report.waiting, report.slots, report.slowness
    (3, 1, 4, 2.5)
    >>> parse_load_report(b'x') is None, parse_load_report(b'inf,0,4') is None
    (True, True)
    """
    parts = [part.strip() for part in text.split(b',')]
    if len(parts) == _COUNT_FIELDS:
        parts.append(_DEFAULT_PERCENT)
    try:
        figures = [float(part) for part in parts]
        running, waiting, slots, percent = figures
    except ValueError:
        return None
    if not all(0 <= figure <= _MAX_FIGURE for figure in figures):
        return None
    return report_now(
        int(running),
        int(waiting),
        int(slots),
        max(_MIN_SLOWNESS, percent / _PERCENT),
    )


def states_not_run(status: int, statements: list[bytes]) -> bool:
    """Return whether a response states that its request did not run.

    A success and a server's failure have run, whatever their headers say.

    >>> states_not_run(503, [b'1']), states_not_run(500, [b'1'])
    (True, False)
    >>> states_not_run(503, []), states_not_run(503, [b'1', b'false'])
    (False, False)
    """
    if status < _MIN_FAILURE:
        return False
    if status >= _MIN_SERVER_FAILURE and status != _UNAVAILABLE:
        return False
    words = {text.strip().lower() for text in statements}
    return bool(words) and words.isdisjoint(_DENIALS)


def parse_limit(text: bytes | None) -> float | None:
    """Parse a limit in requests a second; None if it is no valid number.

    >>> parse_limit(b'4.9'), parse_limit(None), parse_limit(b'nan')
    (4.9, inf, None)
    """
    if text is None:
        return NO_LIMIT
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


def parse_leaving(text: bytes | None) -> bool | None:
    """Parse whether a server leaves; None if it is neither said nor not.

    >>> parse_leaving(b'1'), parse_leaving(None), parse_leaving(b'1, 1')
    (True, False, None)
    """
    if text is None:
        return False
    return True if text.strip() == b'1' else None


def parse_wait_s(status: int, text: bytes | None) -> float | None:
    """Parse the wait that a refusal names; None if it is no valid number.

    >>> parse_wait_s(503, b'1.5'), parse_wait_s(200, b'1.5')
    (1.5, 0)
    >>> parse_wait_s(503, b'-1'), parse_wait_s(503, b'1e9')
    (None, 86400.0)
    """
    if status != _UNAVAILABLE or text is None:
        return 0
    try:
        wait_s = float(text)
    except ValueError:
        return None
    if not math.isfinite(wait_s) or wait_s < 0:
        return None
    return min(wait_s, _MAX_WAIT_S)


def parse_warm_up_s(text: bytes | None) -> float | None:
    """Parse for how long a server is cold; None if it is no valid number.

    >>> parse_warm_up_s(b'1500'), parse_warm_up_s(b'0'), parse_warm_up_s(None)
    (1.5, 0.0, None)
    >>> parse_warm_up_s(b'-1'), parse_warm_up_s(b'nan')
    (None, None)
    """
    try:
        left_s = float(text or b'') / _MS_PER_S
    except ValueError:
        return None
    if not math.isfinite(left_s) or left_s < 0:
        return None
    return min(left_s, _MAX_WAIT_S)


def _text(raw: bytes | None) -> str | None:
    return None if raw is None else raw.decode('latin-1')


@attrs.frozen
class PlatformDialect:
    """Parse and render the platform's headers."""

    def read_request(self, req: CallerRequest) -> RequestMetadata:
        """Parse the id of a request, its deadline and all of its keys."""
        deadline = req.find(_DEADLINE)
        deadline_s = None
        if deadline is not None and deadline.strip().isdigit():
            deadline_s = int(deadline) / _MS_PER_S
        return RequestMetadata(
            request_id=_text(req.find(_REQUEST_ID)) or '',
            deadline_s=deadline_s,
            keys=tuple(
                found.strip(b' \t')
                for name, found in req.headers
                if name.lower() == _KEY
            ),
        )

    def read_response(self, response: BackendResponse) -> ResponseMetadata:
        """Parse the headers of a response from a backend server."""
        load = response.find(_LOAD)
        other_server = response.status == _MISDIRECTED
        statements = response.find_all(_NOT_EXECUTED)
        not_run = other_server or states_not_run(response.status, statements)
        denies_run = response.status in _DENY_RUN
        return ResponseMetadata(
            request_id=_text(response.find(_REQUEST_ID)),
            signed=response.find(_SIGNATURE) is not None,
            not_run=not_run,
            caller_fault=not_run and not denies_run,
            statement=b','.join(statements).decode('latin-1'),
            status_denies_run=denies_run,
            other_server=other_server,
            encoded=response.find(b'content-encoding') is not None,
            server=_text(response.find(_INSTANCE)),
            load=None if load is None else parse_load_report(load),
            limit=parse_limit(response.find(_LIMIT)),
            leaving=parse_leaving(response.find(_LEAVING)),
            wait_s=parse_wait_s(response.status, response.find(_RETRY_AFTER)),
            warm_up_s=parse_warm_up_s(response.find(_WARM_UP)),
        )

    def render_request(
        self,
        req: CallerRequest,
        left_s: float,
        server: str,
        customer: str | None,
    ) -> bytes:
        """Render the head of a request with the framing of its body."""
        dropped = _FROM_CALLER if customer is None else _FROM_CUSTOMER
        headers = end_to_end(req.headers, dropped)
        if customer:
            headers.append((b'Tenant', customer.encode('latin-1')))
        headers.append(
            (b'Request-Deadline-Ms', b'%d' % max(1, left_s * _MS_PER_S))
        )
        headers.append((b'Target-Instance', server.encode('latin-1')))
        headers.extend(_framing(req))
        return render_head(
            b'%b %b HTTP/1.1' % (req.method, req.target), headers
        )

    def response_headers(self, response: BackendResponse) -> list[Header]:
        """Return the headers that are forwarded to the caller unchanged."""
        return end_to_end(response.headers, _FROM_SERVER)

    def refusal_headers(
        self,
        code: int,
        retry_after_s: float | None,
    ) -> list[Header]:
        """Return the headers of a response that the gateway generates."""
        headers = [(b'Wagtailfork-Result', b'%d' % code)]
        if retry_after_s is not None:
            headers.append((b'Retry-After', b'%.3f' % retry_after_s))
        return headers


def _framing(req: CallerRequest) -> list[Header]:
    if req.body.complete:
        if req.body.size or header_value(req.headers, b'content-length'):
            return [(b'Content-Length', b'%d' % req.body.size)]
        return []
    length = header_value(req.headers, b'content-length')
    if length is not None:
        return [(b'Content-Length', length)]
    return [(b'Transfer-Encoding', b'chunked')]
