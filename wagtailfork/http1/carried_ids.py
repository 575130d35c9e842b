"""Ids of the requests that one connection has carried."""

from typing import Final

import attrs

MAX_IDS: Final = 256  # of a connection, in some 16 KB


@attrs.define(eq=False)
class CarriedIds:
    """Decide which requests a connection may carry, by their ids.

    A server may send an answer again at any later time, and the copy names
    the same request. So an answer belongs to a request only if its id was
    sent once on the connection, and an answer without an id only if the
    connection carried nothing before. Nothing follows on such a connection,
    as a copy could pass for the answer to a health check.

    >>> carried = CarriedIds()
    >>> carried.add('r1')
    >>> carried.may_carry('r1'), carried.may_carry('r2')
    (False, True)
    >>> carried.may_carry(''), carried.may_carry(None)
    (False, True)
    """

    count: int = 0  # of all requests, those without an id too
    _digests: set[int] = attrs.field(factory=set)
    _unnamed: bool = False  # a request without an id was sent

    @property
    def full(self) -> bool:
        """Return whether no other request may follow."""
        return self._unnamed or len(self._digests) >= MAX_IDS

    def may_carry(self, request_id: str | None) -> bool:
        """Return whether the answers to a request can be told from others.

        The id is empty if a caller gave none, and None for messages whose
        answers tell nothing about a request, such as health checks.
        """
        if request_id is None:
            return True
        if not request_id:
            return not self.count
        return not self.full and hash(request_id) not in self._digests

    def add(self, request_id: str | None) -> None:
        """Record a request that is sent."""
        self.count += 1
        if request_id:
            self._digests.add(hash(request_id))
        elif request_id is not None:
            self._unnamed = True
