"""Interfaces between a gateway and the platform it runs on."""

from collections.abc import Callable
from typing import Any, Protocol

import attrs

from ..fleet.member import Member
from ..http1.request import CallerRequest
from .dialect import Dialect
from .view import DecodeConfiguration, DecodeServer, View


class StoreUsage(Protocol):
    """Count the calls and bytes exchanged with the store."""

    era: int
    calls: int
    fastest_s: float  # of the answered calls, infinite without one
    read_bytes: int
    written_bytes: int


class Source(Protocol):
    """Read configuration, servers and VMs from the store."""

    @property
    def reads_store(self) -> bool:
        """Return whether the source is being followed successfully."""

    @property
    def usage(self) -> StoreUsage:
        """Return the calls and bytes so far."""

    @property
    def failing(self) -> bool:
        """Return whether the last call to the source failed."""

    @property
    def read_at_s(self) -> float:
        """Return the time of the last read of the topic read longest ago."""

    async def follow_configuration(self) -> None:
        """Follow the configuration without end."""

    async def follow_servers(self) -> None:
        """Follow the table of servers without end."""

    async def list_vms(self) -> list[Member]:
        """Return the registered VMs."""

    async def register_vm(self, me: Member) -> None:
        """Register this VM."""

    async def append_traffic(self, summary: Any) -> None:
        """Append one traffic summary, given as plain values."""

    async def deregister_vm(self, address: str) -> None:
        """Remove the registration of a VM."""


class Directory(Protocol):
    """Serve the readiness check and the address lookup."""

    async def handle_ready(self, req: CallerRequest) -> None:
        """Respond with the readiness of this VM."""

    async def handle_resolve(self, req: CallerRequest) -> None:
        """Respond with the addresses to connect to."""


AddressesOf = Callable[[str, str], list[str]]
# Takes the time up to which all of the configuration was read.
OnConfirmed = Callable[[float], None]
MakeSource = Callable[
    [View, Callable[[], bool], Callable[[], None], OnConfirmed], Source
]
MakeDirectory = Callable[[Callable[[], bool], AddressesOf], Directory]


@attrs.frozen(kw_only=True)
class Adapter:
    """Bundle the platform-specific parts of a gateway."""

    dialect: Dialect
    decode_configuration: DecodeConfiguration
    decode_server: DecodeServer
    make_source: MakeSource
    make_directory: MakeDirectory
