"""Run the parts that place requests in virtual time."""

import asyncio
import contextlib
from collections.abc import Coroutine, Iterator
from typing import Any
from unittest import mock

from ...bench.virtual import VirtualLoop
from ...routing import late_binding
from .. import (
    limit_recorder,
    placement_client,
    placement_coordinator,
    spill_exchange,
    trials,
)

_CLOCKED = (
    late_binding,
    limit_recorder,
    placement_client,
    placement_coordinator,
    spill_exchange,
    trials,
)


def now_s() -> float:
    """Return the virtual time, or zero outside a virtual loop."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0


@contextlib.contextmanager
def virtual_clock() -> Iterator[None]:
    """Use the virtual time in all modules that take part."""
    with contextlib.ExitStack() as stack:
        for module in _CLOCKED:
            stack.enter_context(mock.patch.object(module, 'now_s', now_s))
        yield


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time."""
    with virtual_clock(), asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
