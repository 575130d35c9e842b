"""Ask other VMs for the age of the configuration."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..fleet.age_messages import AgeRequest
from ..fleet.member import Member
from ..fleet.members import Membership
from ..fleet.messages import Message
from .freshness import ConfigurationAge

QUERY_PERIOD_S: Final = 0.5
MIN_PERIOD_S: Final = 0.05  # however many requests depend on the age
START_PERIOD_S: Final = 0.1  # until the first confirmation
# A reader's age reaches the wait of a poll, 2 s. Those of other domains poll at
# other times, so asking them as well keeps ages below 1.6 s; a VM that is cut
# off then serves keys for the 3 s for which callers may rely on it.
FAR_QUERY_AGE_S: Final = 0.6
_OTHERS_EVERY: Final = 4  # requests, of which one may go to any VM

Send = Callable[[Message, list[str]], None]


@attrs.define(eq=False, kw_only=True)
class AgeQueries:
    """Ask a reader of the own domain, and other domains if that is late."""

    membership: Membership
    age: ConfigurationAge
    send: Send
    is_active: Callable[[], bool]  # whether the age matters
    _asked_at_s: float = -math.inf

    async def run(self) -> None:
        """Ask without end."""
        while True:
            confirmed = math.isfinite(self.age.confirmed_s)
            if self.is_active():
                self.step(now_s())
            await asyncio.sleep(QUERY_PERIOD_S if confirmed else START_PERIOD_S)

    def ask(self) -> None:
        """Ask at once, for a request that depends on the age."""
        now = now_s()
        if now - self._asked_at_s >= MIN_PERIOD_S:
            self.step(now)

    def step(self, now: float) -> None:
        """Ask the VMs that are due."""
        self._asked_at_s = now
        late = self.age.age_s(now) > FAR_QUERY_AGE_S
        for member in self._choose(now, late=late):
            number = self.age.start_request(now)
            me = self.membership.me.address
            self.send(AgeRequest(me, number), [member.address])

    def _choose(self, now: float, *, late: bool) -> list[Member]:
        chosen = []
        readers = self.membership.store_readers(now)
        if not readers and late:
            readers = self.membership.neighbours()
        if readers and (late or not self.membership.me.reads_store):
            chosen.append(random.choice(readers))  # noqa: S311
        if late:
            chosen.extend(self._choose_far(now))
        return chosen

    def _choose_far(self, now: float) -> list[Member]:
        """Return one VM of another domain, usually one that reads.

        A VM that is cut off from the store may not have told so yet.
        """
        me = self.membership.me
        far = [
            one
            for one in self.membership.alive(now)
            if one.failure_domain != me.failure_domain
        ]
        reading = [one for one in far if one.reads_store]
        if reading and random.randrange(_OTHERS_EVERY):  # noqa: S311
            far = reading
        return [random.choice(far)] if far else []  # noqa: S311
