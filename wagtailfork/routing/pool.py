"""The endpoints of every service, kept in step with the folded state."""

import time
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from ..control.fold import ControlState
from ..control.objects import ANY_CUSTOMER, Backend, Rule
from .endpoint import Endpoint

OWN_WORD_S: Final = 10.0  # how long a server's own 'draining' is believed


_USABLE: Final = frozenset(('cold', 'warm'))


@attrs.frozen(kw_only=True)
class Reach:
    """Say how far a request may go for a slot."""

    excluded: frozenset[str] = frozenset()
    overdraft: bool = False  # use slots that were not lent to this VM
    far: bool = False  # use another region though this one has servers


@attrs.define
class Pool:
    """Hold the endpoints by service and say which may be used."""

    region: str
    lends: bool = False  # whether the slots of this region are lent
    _clock: Callable[[], float] = time.monotonic
    _by_name: dict[str, Endpoint] = attrs.field(factory=dict)
    _by_service: dict[str, list[Endpoint]] = attrs.field(factory=dict)
    _rules: dict[str, list[Rule]] = attrs.field(factory=dict)
    _leaving: frozenset[str] = frozenset()

    def on_state(self, state: ControlState) -> None:
        """Take the backends and rules of a new state."""
        backends: dict[str, Backend] = state.all_of('backend')
        for name in set(self._by_name) - set(backends):
            self._by_name.pop(name).fire('remove')
        for name, backend in backends.items():
            self._update(name, backend)
        self._regroup()
        self._rules = {}
        for rule in state.all_of('rule').values():
            self._rules.setdefault(rule.service, []).append(rule)

    def on_leaving(self, addresses: Iterable[str]) -> None:
        """Take the addresses that the VM list calls leaving."""
        self._leaving = frozenset(addresses)
        for endpoint in self._by_name.values():
            self._apply_draining(endpoint)

    def on_draining(self, endpoint: Endpoint) -> None:
        """Take a backend server's own word that it leaves."""
        endpoint.own_word_until = self._clock() + OWN_WORD_S
        self._apply_draining(endpoint)

    def by_name(self, name: str) -> Endpoint | None:
        """Find one endpoint."""
        return self._by_name.get(name)

    def services(self) -> Iterable[str]:
        """Name the services that have endpoints."""
        return self._by_service.keys()

    def endpoints(self, service: str) -> list[Endpoint]:
        """Give all endpoints of a service."""
        return self._by_service.get(service, [])

    def every(self) -> Iterable[Endpoint]:
        """Give all endpoints."""
        return self._by_name.values()

    def allowed(self, customer: str, service: str) -> list[Endpoint] | None:
        """Give the endpoints that the rules open to a customer.

        None means that rules exist and none admits the customer.
        """
        rules = self._rules.get(service)
        found = self.endpoints(service)
        if not rules:
            return found
        mine = [
            rule for rule in rules if rule.customer in {customer, ANY_CUSTOMER}
        ]
        if not mine:
            return None
        domains = {name for rule in mine for name in rule.failure_domains}
        if any(not rule.failure_domains for rule in mine):
            return found
        return [
            each for each in found if each.backend.failure_domain in domains
        ]

    def free(
        self,
        endpoints: Iterable[Endpoint],
        reach: Reach,
    ) -> list[Endpoint]:
        """Give the endpoints with a free slot, this region's before others."""
        now = self._clock()
        near: list[Endpoint] = []
        far: list[Endpoint] = []
        has_near = False
        for endpoint in endpoints:
            endpoint.tick(now)
            is_near = endpoint.backend.region == self.region
            has_near = has_near or is_near and endpoint.state in _USABLE
            if endpoint.name in reach.excluded:
                continue
            if endpoint.is_free() or reach.overdraft and endpoint.could_serve():
                (near if is_near else far).append(endpoint)
        if near or (has_near and not reach.far):
            return near
        return far

    def _update(self, name: str, backend: Backend) -> None:
        endpoint = self._by_name.get(name)
        if endpoint is not None and endpoint.backend.address != backend.address:
            endpoint.fire('remove')
            endpoint = None
        if endpoint is None:
            endpoint = Endpoint(name, backend)
            self._by_name[name] = endpoint
            if self.lends and backend.region == self.region:
                endpoint.held = 0
        endpoint.backend = backend
        self._apply_draining(endpoint)

    def _apply_draining(self, endpoint: Endpoint) -> None:
        backend = endpoint.backend
        leaving = backend.draining or backend.address in self._leaving
        leaving = leaving or self._clock() < endpoint.own_word_until
        if endpoint.state == 'gone':
            return
        if leaving and endpoint.state != 'draining':
            endpoint.fire('drain')
        if not leaving and endpoint.state == 'draining':
            endpoint.fire('undrain')

    def _regroup(self) -> None:
        grouped: dict[str, list[Endpoint]] = {}
        for endpoint in self._by_name.values():
            grouped.setdefault(endpoint.backend.service, []).append(endpoint)
        self._by_service = grouped
