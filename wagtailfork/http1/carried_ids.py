"""Ids of the requests that one connection has carried."""

import attrs


@attrs.define(eq=False)
class CarriedIds:
    """Record the id of each request that is sent on a connection.

    >>> carried = CarriedIds()
    >>> carried.add('r1')
    >>> carried.has('r1'), carried.has('r2')
    (True, False)
    """

    _digests: set[int] = attrs.field(factory=set)

    def has(self, request_id: str) -> bool:
        """Return whether a request with this id was sent."""
        return hash(request_id) in self._digests

    def add(self, request_id: str) -> None:
        """Record a request that is sent."""
        self._digests.add(hash(request_id))
