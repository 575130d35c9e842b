"""What a run with customers has beyond others."""

import random

import attrs

from .customer_rules import CustomerRules
from .customers import REVOCATION_LIMIT_MS, Customers
from .disruptions import Play
from .gateways import GatewayProcess
from .key_disruptions import KeyDisruptor
from .operators import Operators
from .plan import SERVICES, SoakPlan
from .record import Record
from .store_links import StoreLinks
from .timed_rules import TimedRules


@attrs.define(eq=False)
class CustomerPlay:
    """Hold the customers and the links to the store, if the plan has any."""

    plan: SoakPlan
    customers: Customers | None = attrs.field(init=False, default=None)
    links: StoreLinks = attrs.field(factory=StoreLinks)

    def __attrs_post_init__(self) -> None:
        """Make the customers of the plan."""
        if self.plan.customers:
            self.customers = Customers(self._make_rng())

    def add_rules(self, rules: TimedRules, record: Record) -> None:
        """Let the requests of customers be judged."""
        if self.customers is not None:
            rules.customers = CustomerRules(self.customers, record.customers)

    @property
    def revocation_limit_ms(self) -> float | None:
        """Return the setting of the gateways."""
        return None if self.customers is None else REVOCATION_LIMIT_MS

    async def reach_store(self, vm: str, store_address: str) -> str:
        """Return the address at which a gateway finds the store."""
        if self.customers is None:
            return store_address
        return await self.links.open(vm, store_address)

    def domain_index(self, number: int) -> int:
        """Return a number that tells the domain of a server.

        With customers, the servers of each service stand in all domains, as
        a service has a home and a domain may be evacuated.
        """
        if self.customers is None:
            return number
        return number + number // len(SERVICES)

    def kinds(
        self,
        gateways: list[GatewayProcess],
        operators: Operators,
        busy: set[str],
        held: set[str],
    ) -> dict[str, Play]:
        """Return what plays each kind of disruption."""
        if self.customers is None:
            return {}
        return KeyDisruptor(
            gateways=gateways,
            rng=self._make_rng(),
            store_links=self.links,
            operators=operators,
            busy=busy,
            held=held,
        ).kinds()

    def _make_rng(self) -> random.Random:
        return random.Random(self.plan.seed)  # noqa: S311
