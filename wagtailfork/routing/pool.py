"""The endpoints of every service, updated from the control state."""

import time
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from ..control.fold import ControlState, StoredObject
from ..control.objects import ANY_CUSTOMER, Backend, ControlObject, Rule
from ..control.tickets import ObjectId
from .endpoint import Endpoint

# Time for which the draining header of a backend server's response applies.
DRAINING_NOTICE_S: Final = 10.0
_USABLE_STATES: Final = frozenset(('cold', 'warm'))


@attrs.frozen(kw_only=True)
class SlotFilter:
    """Select the slots that a request may use."""

    excluded: frozenset[str] = frozenset()
    allow_unlent: bool = False  # also use slots not lent to this VM
    far: bool = False  # use another region although this one has servers
    is_far_link_open: bool = True  # the link's budget allows other regions


def _ejected_until(endpoint: Endpoint) -> float:
    return endpoint.ejected_until


def _has_slot(endpoint: Endpoint, slot_filter: SlotFilter) -> bool:
    if endpoint.name in slot_filter.excluded:
        return False
    if endpoint.is_free():
        return True
    return slot_filter.allow_unlent and endpoint.may_have_unlent_slot()


@attrs.define
class Pool:
    """Hold the endpoints by service and select usable ones."""

    region: str
    lends: bool = False  # whether the slots of this region are lent
    _clock: Callable[[], float] = time.monotonic
    _objects: Mapping[ObjectId, StoredObject] = attrs.field(factory=dict)
    _by_name: dict[str, Endpoint] = attrs.field(factory=dict)
    _by_service: dict[str, list[Endpoint]] = attrs.field(factory=dict)
    _rules: dict[str, list[Rule]] = attrs.field(factory=dict)
    _leaving: frozenset[str] = frozenset()

    def on_state(self, state: ControlState) -> None:
        """Apply the backends and rules of a new control state."""
        changed = [
            ident
            for ident, stored in state.objects.items()
            if self._objects.get(ident) is not stored
        ]
        # A snapshot may omit objects of the previous state.
        changed.extend(
            ident for ident in self._objects if ident not in state.objects
        )
        self._objects = state.objects
        for kind, name in changed:
            if kind == 'backend':
                self._apply_backend(name, state.get_object(kind, name))
        kinds = {ident[0] for ident in changed}
        if 'backend' in kinds:
            self._group_by_service()
        if 'rule' in kinds:
            self._rules = {}
            for rule in state.objects_of_kind('rule').values():
                self._rules.setdefault(rule.service, []).append(rule)

    def on_leaving(self, addresses: Iterable[str]) -> None:
        """Store the leaving addresses of the VM list and update draining."""
        self._leaving = frozenset(addresses)
        for endpoint in self._by_name.values():
            self._apply_draining(endpoint)

    def on_draining(self, endpoint: Endpoint) -> None:
        """Drain a backend server whose response has the draining header."""
        endpoint.draining_notice_until = self._clock() + DRAINING_NOTICE_S
        self._apply_draining(endpoint)

    def by_name(self, name: str) -> Endpoint | None:
        """Return an endpoint, None if unknown."""
        return self._by_name.get(name)

    def record_failure(self, endpoint: Endpoint) -> None:
        """Record a failure; eject the endpoint after too many in a row.

        At most half of a service is ejected. If half already is, the endpoint
        whose ejection ends first is readmitted in exchange.
        """
        if not endpoint.failed():
            return
        others = self.endpoints(endpoint.backend.service)
        ejected = [each for each in others if each.state == 'ejected']
        if (len(ejected) + 1) * 2 > len(others):
            if not ejected:
                return
            min(ejected, key=_ejected_until).readmit()
        endpoint.eject(self._clock())

    def services(self) -> Iterable[str]:
        """Return the services that have endpoints."""
        return self._by_service.keys()

    def endpoints(self, service: str) -> list[Endpoint]:
        """Return all endpoints of a service."""
        return self._by_service.get(service, [])

    def all_endpoints(self) -> Iterable[Endpoint]:
        """Return all endpoints."""
        return self._by_name.values()

    def allowed(self, customer: str, service: str) -> list[Endpoint] | None:
        """Return the endpoints that the rules allow a customer.

        None means that the service has rules and none admits the customer.
        """
        rules = self._rules.get(service)
        found = self.endpoints(service)
        if not rules:
            return found
        matching = [
            rule for rule in rules if rule.customer in {customer, ANY_CUSTOMER}
        ]
        if not matching:
            return None
        domains = {name for rule in matching for name in rule.failure_domains}
        if any(not rule.failure_domains for rule in matching):
            return found
        return [
            each for each in found if each.backend.failure_domain in domains
        ]

    def free(
        self,
        endpoints: Iterable[Endpoint],
        slot_filter: SlotFilter,
    ) -> list[Endpoint]:
        """Return endpoints with a free slot, preferring this region's."""
        now = self._clock()
        near: list[Endpoint] = []
        far: list[Endpoint] = []
        usable_near = 0
        for endpoint in endpoints:
            endpoint.tick(now)
            is_near = endpoint.backend.region == self.region
            usable_near += is_near and endpoint.state in _USABLE_STATES
            if not _has_slot(endpoint, slot_filter):
                continue
            (near if is_near else far).append(endpoint)
        if near or not slot_filter.is_far_link_open:
            return near
        return [] if usable_near and not slot_filter.far else far

    def _apply_backend(self, name: str, backend: ControlObject | None) -> None:
        if isinstance(backend, Backend):
            self._update_backend(name, backend)
        elif name in self._by_name:
            self._by_name.pop(name).fire('remove')

    def _update_backend(self, name: str, backend: Backend) -> None:
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
        leaving = leaving or self._clock() < endpoint.draining_notice_until
        if endpoint.state == 'gone':
            return
        if leaving and endpoint.state != 'draining':
            endpoint.fire('drain')
        if not leaving and endpoint.state == 'draining':
            endpoint.fire('undrain')

    def _group_by_service(self) -> None:
        grouped: dict[str, list[Endpoint]] = {}
        for endpoint in self._by_name.values():
            grouped.setdefault(endpoint.backend.service, []).append(endpoint)
        self._by_service = grouped
