"""A client of the platform's list of live and leaving VMs."""

import asyncio
import json
import logging
import time
from collections.abc import Callable
from typing import Any, Final

import aiosonic
import attrs
from aiosonic.exceptions import AiosonicError

from ..core.address import is_address
from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..core.results import ResultCode
from ..core.structure import parse_plain

LIVE: Final = 'live'
LEAVING: Final = 'leaving'
ENTRY: Final = 'entry'
_TIMEOUT_S: Final = 2.0


@attrs.frozen(kw_only=True)
class ListedVm:
    """Describe a listed VM; backend servers have no peer address."""

    name: str
    role: str
    state: str = attrs.field(validator=attrs.validators.in_((LIVE, LEAVING)))
    address: str
    peer_address: str = ''
    region: str = ''
    failure_domain: str = ''


@attrs.frozen(kw_only=True)
class VmListing:
    """Hold the VM list as of one poll."""

    vms: list[ListedVm]

    def entries(self) -> list[ListedVm]:
        """Return the entry VMs."""
        return [vm for vm in self.vms if vm.role == ENTRY]

    def leaving_addresses(self) -> list[str]:
        """Return the addresses of VMs that are leaving."""
        return [vm.address for vm in self.vms if vm.state == LEAVING]


_FAILURES: Final = (
    AiosonicError,
    OSError,
    RecursionError,
    TimeoutError,
    ValueError,
    WagtailforkError,
    asyncio.IncompleteReadError,
)

_logger = logging.getLogger(__name__)


@attrs.define
class VmListFollower:
    """Poll the VM list; keep the last result while it is unavailable."""

    _url: str
    _poll_s: float
    _listener: Callable[[VmListing], None]
    listing: VmListing = attrs.field(factory=lambda: VmListing(vms=[]))
    read_at: float = float('-inf')

    async def run(self) -> None:
        """Poll until cancelled."""
        failing = False
        while True:
            try:
                self.listing = await self._read()
            except _FAILURES as exc:
                if not failing:
                    log_warning(_logger, 'vm_list_unreadable', error=repr(exc))
                failing = True
            else:
                failing = False
                self.read_at = time.monotonic()
                self._listener(self.listing)
            await asyncio.sleep(self._poll_s)

    async def _read(self) -> VmListing:
        # A new client for each poll never reuses a stalled connection.
        async with asyncio.timeout(_TIMEOUT_S), aiosonic.HTTPClient() as http:
            response = await http.get(f'{self._url.rstrip("/")}/vms')
            raw = json.loads(await response.content())
        return parse_listing(raw)


def parse_listing(raw: Any) -> VmListing:
    """Build a listing; leave out entries that are malformed.

    >>> parse_listing({'vms': [5]}).vms
    []
    """
    if not isinstance(raw, dict) or not isinstance(raw.get('vms'), list):
        raise WagtailforkError(
            ResultCode.service_unreachable, 'the VM list has no vms'
        )
    vms = []
    for entry in raw['vms']:
        try:
            vms.append(_parse_vm(entry))
        except WagtailforkError as exc:
            log_warning(_logger, 'vm_unreadable', error=exc.detail)
    return VmListing(vms=vms)


def _parse_vm(entry: Any) -> ListedVm:
    listed = parse_plain(entry, ListedVm, ResultCode.service_unreachable)
    for address in (listed.address, listed.peer_address):
        if address and not is_address(address):
            raise WagtailforkError(
                ResultCode.service_unreachable, f'address {address!r}'
            )
    return listed
