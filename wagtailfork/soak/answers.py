"""Kinds of answers of backend servers, and how often each is played."""

from collections.abc import Mapping
from typing import Final

import attrs

# The answers of each group with their weights. ``bare`` servers run what they
# refuse and do not state that they did not; the statement of ``contrary`` ones
# contradicts their status, or they deny it. ``endless`` ones send bytes until
# their caller closes. ``copied`` ones refuse no more requests: they repeat a
# refusal when its request is under way again on the connection of the refusal.
GROUPS: Final[Mapping[str, Mapping[str, float]]] = {
    'stated': {
        'refuse': 3,
        'refuse_429': 1,
        'refuse_twice': 2,
        'refuse_again_late': 2,
        'refuse_unnamed_copy': 2,
        'refuse_cut': 1,
        'refuse_in_pieces': 2,
        'misdirect': 1,
    },
    'faulty': {
        'fail': 2,
        'lose': 2,
        'cut': 2,
        'late': 3,
        'twice': 2,
        'again_late': 2,
        'garbage': 1,
        'silent': 1,
        'stop_in_head': 1,
        'unsized': 1,
    },
    'bare': {'bare_503': 2, 'bare_429': 1, 'bare_408': 1},
    'endless': {
        'endless_head': 1,
        'endless_headers': 1,
        'endless_interim': 1,
        'endless_lines': 1,
        'endless_garbage': 1,
        'endless_body': 1,
        'endless_chunks': 1,
        'endless_failure': 1,
    },
    'contrary': {
        'ran_500_stated': 1,
        'ran_504_stated': 1,
        'ran_503_denied': 1,
        'ran_with_trailer': 1,
    },
    'copied': {},
}
COPIED: Final = 'copied'
SERVE_WEIGHT: Final = 60.0
SERVE: Final = 'serve'
_BODY_BYTES: Final = 400


@attrs.frozen(kw_only=True)
class Answer:
    """Describe one answer as it was sent."""

    status: int
    stated: bool  # that the request did not run
    named: bool  # it bears the request's id
    first: bool  # on the first request of its connection
    ran: bool

    def __str__(self) -> str:
        """Render the answer as one key of the report."""
        parts = [str(self.status)]
        parts.append('stated' if self.stated else 'unstated')
        parts.append('named' if self.named else 'unnamed')
        parts.append('first' if self.first else 'reused')
        parts.append('ran' if self.ran else 'not_run')
        return '/'.join(parts)


def weights_of(groups: tuple[str, ...]) -> dict[str, float]:
    """Return the weight of each answer that a run plays.

    >>> weights_of(('bare',))
    {'serve': 60.0, 'bare_503': 2, 'bare_429': 1, 'bare_408': 1}
    """
    weights = {SERVE: SERVE_WEIGHT}
    for group in groups:
        weights.update(GROUPS[group])
    return weights


def make_body(request_id: str, server: str) -> bytes:
    """Return the body of a success, which names its request and server."""
    return f'{request_id} {server} '.encode().ljust(_BODY_BYTES, b'.')
