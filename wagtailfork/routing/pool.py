"""The endpoints of every service, kept in step with the folded state."""

import time
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from ..control.fold import ControlState, StoredObject
from ..control.objects import ANY_CUSTOMER, Backend, ControlObject, Rule
from ..control.tickets import ObjectId
from .endpoint import Endpoint

OWN_WORD_S: Final = 10.0  # how long a server's own 'draining' is believed


_USABLE: Final = frozenset(('cold', 'warm'))


@attrs.frozen(kw_only=True)
class Reach:
    """Say how far a request may go for a slot."""

    excluded: frozenset[str] = frozenset()
    overdraft: bool = False  # use slots that were not lent to this VM
    far: bool = False  # use another region though this one has servers
    far_open: bool = True  # whether the link's budget allows another region


def _due_at(endpoint: Endpoint) -> float:
    return endpoint.ejected_until


def _has_slot(endpoint: Endpoint, reach: Reach) -> bool:
    if endpoint.name in reach.excluded:
        return False
    if endpoint.is_free():
        return True
    return reach.overdraft and endpoint.could_serve()


@attrs.define
class Pool:
    """Hold the endpoints by service and say which may be used."""

    region: str
    lends: bool = False  # whether the slots of this region are lent
    _clock: Callable[[], float] = time.monotonic
    _objects: Mapping[ObjectId, StoredObject] = attrs.field(factory=dict)
    _by_name: dict[str, Endpoint] = attrs.field(factory=dict)
    _by_service: dict[str, list[Endpoint]] = attrs.field(factory=dict)
    _rules: dict[str, list[Rule]] = attrs.field(factory=dict)
    _leaving: frozenset[str] = frozenset()

    def on_state(self, state: ControlState) -> None:
        """Take the backends and rules of a new state."""
        changed = [
            ident
            for ident, stored in state.objects.items()
            if self._objects.get(ident) is not stored
        ]
        # A snapshot may leave objects out that were known before.
        changed.extend(
            ident for ident in self._objects if ident not in state.objects
        )
        self._objects = state.objects
        for kind, name in changed:
            if kind == 'backend':
                self._replace(name, state.find(kind, name))
        kinds = {ident[0] for ident in changed}
        if 'backend' in kinds:
            self._regroup()
        if 'rule' in kinds:
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

    def note_failure(self, endpoint: Endpoint) -> None:
        """Count a failure; never eject more than half of a service.

        Where half is out already, the one that is due first comes back.
        """
        if not endpoint.failed():
            return
        others = self.endpoints(endpoint.backend.service)
        ejected = [each for each in others if each.state == 'ejected']
        if (len(ejected) + 1) * 2 > len(others):
            if not ejected:
                return
            min(ejected, key=_due_at).readmit()
        endpoint.eject(self._clock())

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
        usable_near = 0
        for endpoint in endpoints:
            endpoint.tick(now)
            is_near = endpoint.backend.region == self.region
            usable_near += is_near and endpoint.state in _USABLE
            if not _has_slot(endpoint, reach):
                continue
            (near if is_near else far).append(endpoint)
        if near or not reach.far_open:
            return near
        return [] if usable_near and not reach.far else far

    def _replace(self, name: str, backend: ControlObject | None) -> None:
        if isinstance(backend, Backend):
            self._update(name, backend)
        elif name in self._by_name:
            self._by_name.pop(name).fire('remove')

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
