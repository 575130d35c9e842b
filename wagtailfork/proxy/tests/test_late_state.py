"""Requests that a VM without the newest tickets cannot judge."""

from typing import Any
from unittest import mock

import testtools

from ...control.fold import ControlState
from ...core.errors import WagtailforkError
from ...core.results import ResultCode
from ..dispatcher import DENIAL_AGE_LIMIT_S, Dispatcher


def refusal_at(age_s: float) -> ResultCode:
    """Return why a VM with an empty state of this age refuses a request."""
    part: Any = mock.Mock()
    dispatcher = Dispatcher(part, part, part, part, part, lambda: age_s)
    dispatcher.on_state(ControlState())
    try:
        dispatcher.authorize(mock.Mock(service='stock', customer='kiosk'))
    except WagtailforkError as exc:
        return exc.code
    return ResultCode.ok


class TestLateState(testtools.TestCase):
    """Only a VM that follows the log calls a request wrong."""

    def test_late_vm_denies_no_new_service(self) -> None:
        """Guards against a 404 for a service that other VMs serve."""
        codes = [refusal_at(age) for age in (0, DENIAL_AGE_LIMIT_S)]
        self.assertEqual(
            [ResultCode.unknown_service, ResultCode.configuration_stale], codes
        )
