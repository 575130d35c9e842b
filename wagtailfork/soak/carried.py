"""Requests that one connection to a backend server has carried."""

import attrs


@attrs.define(eq=False)
class Carried:
    """Remember ids and refusals as long as a connection lasts."""

    requests: int = 0  # with health checks
    refused: dict[str, int] = attrs.field(factory=dict)  # last status by id
    _ids: set[str] = attrs.field(factory=set)

    def add(self, request_id: str) -> bool:
        """Add an arrival; return whether the id came here before.

        >>> carried = Carried()
        >>> carried.add('r1'), carried.add('r2'), carried.add('r1')
        (False, False, True)
        """
        if request_id in self._ids:
            return True
        self._ids.add(request_id)
        return False
