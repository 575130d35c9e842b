"""What operators and servers write to the store."""

import json
from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..standin.documents import describe_route
from ..standin.keyed_store import KeyedStoreStandin
from .customers import HOME, HOMED_KIND, PUBLIC_KIND, Customers
from .extra_routes import ExtraRoutes
from .links import Links
from .plan import CONFIG_TOPIC, PAYMENT_SERVICES, SERVICES
from .timed_rules import TimedRules

SERVERS_TOPIC: Final = 'keyed.servers'
ROUTE_TIMEOUT_MS: Final = 9000
OBJECTIVE_MS: Final = 1500
_TYPES: Final = {'look': 'safe', 'pay': 'unsafe', 'snap': 'upload'}
_ACCESS: Final[dict[str, dict[str, Any]]] = {
    PUBLIC_KIND: {'public': True},
    HOMED_KIND: {'allowedRegions': [HOME]},
}


@attrs.define(eq=False, kw_only=True)
class Operators:
    """Write entries and configurations, and record what they changed."""

    store: KeyedStoreStandin
    rules: TimedRules
    links: Links
    customers: Customers | None
    routes: ExtraRoutes | None = None
    _version: int = 0

    def put_entry(self, name: str, entry: dict[str, object]) -> None:
        """Write the entry of a server."""
        address = self.links.reach(str(entry['address']))
        raw = json.dumps({**entry, 'address': address}).encode()
        self.store.put(SERVERS_TOPIC, name, raw)

    def delete_entry(self, name: str) -> None:
        """Delete the entry of a server."""
        self.store.delete_key(SERVERS_TOPIC, name)

    def revoke_key(self) -> None:
        """Take a key from a customer."""
        if self.customers is None:
            return
        removed = self.customers.replace_key()
        self.change_configuration()
        removed.removed_s = now_s()

    def change_configuration(self) -> None:
        """Write a configuration that moves payments to another service."""
        self._version += 1
        payments = PAYMENT_SERVICES[self._version % len(PAYMENT_SERVICES)]
        self.rules.versions.append((now_s(), payments))
        document: dict[str, Any] = {
            'version': self._version,
            'routes': {
                'stock': self._describe_route('look', 'stock'),
                'pay': self._describe_route('pay', payments),
                'snap': self._describe_route('snap', 'snap'),
                **self._describe_extra_routes(),
            },
            'services': {
                service: {'healthPath': '/health', 'maxConns': 900}
                for service in SERVICES
            },
            'limits': {'maxBodyBytes': 67108864, 'idleTimeoutMs': 15000},
        }
        if self.customers is not None:
            document['tenants'] = self.customers.describe()
        raw = json.dumps(document).encode()
        self.store.put(CONFIG_TOPIC, 'config', raw)

    def _describe_extra_routes(self) -> dict[str, Any]:
        if self.routes is None:
            return {}
        keyed = self.customers is not None
        return self.routes.describe(**({'public': True} if keyed else {}))

    def _describe_route(self, kind: str, service: str) -> dict[str, Any]:
        access = {} if self.customers is None else _ACCESS.get(kind, {})
        return describe_route(
            prefix=f'/{kind}/',
            kind=_TYPES[kind],
            service=service,
            timeout_ms=ROUTE_TIMEOUT_MS,
            objective_ms=OBJECTIVE_MS,
            **access,
        )
