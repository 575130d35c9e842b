"""Test fixtures: small sets of endpoints on a virtual clock."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs

from ...bench.virtual import VirtualLoop
from ...control.fold import ControlState, StoredObject
from ...control.objects import Backend, Service
from ..admission import Admission, SlotRequest
from ..endpoint import WARM_AFTER_ANSWERS
from ..pool import Pool

NEAR = 'south-tas'
FAR = 'north-tas'
SERVICE = 'stockd'

Result = TypeVar('Result')


def make_state(regions: tuple[str, ...], slots: int) -> ControlState:
    """Create a service with one endpoint for each region named."""
    objects: dict[Any, StoredObject] = {
        ('service', SERVICE): StoredObject(1, '', Service()),
    }
    for number, region in enumerate(regions):
        backend = Backend(
            service=SERVICE,
            address=f'10.0.0.{number}:80',
            region=region,
            failure_domain='hobart-a',
            slots=slots,
        )
        objects['backend', f'b{number}'] = StoredObject(1, '', backend)
    return ControlState(objects=objects)


@attrs.define
class Scene:
    """Hold an admission over warm endpoints on a virtual loop."""

    regions: tuple[str, ...] = (NEAR,)
    slots: int = 1
    queue_limit: int = 512
    loop: VirtualLoop = attrs.field(factory=VirtualLoop)
    pool: Pool = attrs.field(init=False)
    admission: Admission = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the pool and the admission."""
        self.pool = Pool(NEAR, clock=self.loop.time)
        self.pool.on_state(make_state(self.regions, self.slots))
        for endpoint in self.pool.all_endpoints():
            for _answer in range(WARM_AFTER_ANSWERS):
                endpoint.answered(0.01)
        self.admission = Admission(
            self.pool,
            self.queue_limit,
            clock=self.loop.time,
        )

    def slot_request(
        self,
        customer: str = 'kiosk',
        limit_s: float = 1,
        weight: float = 1,
    ) -> SlotRequest:
        """Create a slot request with a deadline ``limit_s`` from now."""
        return SlotRequest(
            customer=customer,
            service=SERVICE,
            weight=weight,
            deadline=self.loop.time() + limit_s,
        )

    def run(self, work: Callable[['Scene'], Awaitable[Result]]) -> Result:
        """Run a coroutine to completion on the virtual clock."""
        try:
            return self.loop.run_until_complete(_awaited(work, self))
        finally:
            self.loop.close()


async def _awaited(
    work: Callable[[Scene], Awaitable[Result]],
    scene: Scene,
) -> Result:
    return await work(scene)
