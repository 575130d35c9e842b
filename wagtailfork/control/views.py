"""Views of a key range: the VMs that must acknowledge a claim on its keys.

A range belongs to one incarnation of an entry VM, its owner. A view lists
the members that hold the range's claims in memory. Views change only by
records in the log. Each record names the view that it replaces, so the
record with the lowest offset wins and no election is needed.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode

_VIEW_LIFETIME_HOURS: Final = 12  # longer than the outages to survive
VIEW_LIFETIME_MS: Final = _VIEW_LIFETIME_HOURS * 60 * 60 * 1000


@attrs.frozen(kw_only=True)
class View:
    """List the members of a range, the primary first."""

    number: int
    members: tuple[str, ...]  # incarnations
    renewed_ms: int  # the log's timestamp of this view's record
    handovers: int = 0  # number of times that all members were replaced

    def primary(self) -> str:
        """Return the incarnation that decides claims."""
        return self.members[0]


@attrs.frozen(kw_only=True)
class ViewChange:
    """Propose a view of a range to replace view number ``previous``."""

    range_id: str
    previous: int
    proposer: str
    members: tuple[str, ...]
    handover: bool = False  # to new members that were sent the claim table


Views = Mapping[str, View]


def apply_view_change(views: Views, change: ViewChange, at_ms: int) -> Views:
    """Return the views after a change, or raise ``view_conflict``.

    >>> first = ViewChange(
    ...     range_id='a-1', previous=0, proposer='a', members=('a', 'b'))
    >>> views = apply_view_change({}, first, 0)
    >>> views['a-1'].primary()
    'a'
    """
    current = views.get(change.range_id)
    _check_change(current, change)
    live = {
        name: view
        for name, view in views.items()
        if view.renewed_ms + VIEW_LIFETIME_MS > at_ms
    }
    live.pop(change.range_id, None)
    if change.members:
        live[change.range_id] = View(
            number=change.previous + 1,
            members=change.members,
            renewed_ms=at_ms,
            handovers=_handovers(current) + change.handover,
        )
    return live


def _handovers(current: View | None) -> int:
    return current.handovers if current else 0


def _check_change(current: View | None, change: ViewChange) -> None:
    number = current.number if current else 0
    if change.previous != number or (change.handover and not current):
        raise WagtailforkError(
            ResultCode.view_conflict,
            f'{change.range_id} is at view {number}',
        )
    if current is None:
        _check_first_view(change)
        return
    if change.handover:
        _check_handover(current, change)
        return
    outside = set(change.members) - set(current.members)
    if outside or change.proposer not in current.members:
        # A member added later would lack the claims granted before it joined.
        raise WagtailforkError(
            ResultCode.view_conflict,
            f'{change.range_id} has members {current.members}',
        )


def _check_first_view(change: ViewChange) -> None:
    owner = change.range_id.partition('-')[0]
    if change.members[:1] != (owner,) or change.proposer != owner:
        raise WagtailforkError(
            ResultCode.view_conflict,
            f'{change.range_id} must be created by its owner',
        )


def _check_handover(current: View, change: ViewChange) -> None:
    # Only a sole member holds every claim and can stop granting new ones.
    if current.members != (change.proposer,):
        raise WagtailforkError(
            ResultCode.view_conflict,
            f'{change.range_id} has members {current.members}',
        )
    if not change.members or change.proposer in change.members:
        raise WagtailforkError(
            ResultCode.view_conflict,
            f'{change.range_id} cannot be handed over to {change.members}',
        )
