"""What a soak plays: sizes, duration and kinds of answers and disruptions."""

from typing import Final

import attrs

from .answers import COPIED, weights_of

MAX_GATEWAYS: Final = 150  # processes
MAX_SECONDS: Final = 600.0
REGIONS: Final = {'a': 'south', 'b': 'south', 'c': 'north', 'd': 'north'}
SERVICES: Final = ('stock', 'pay', 'snap', 'spare')
# Payments go to one of these, by the configuration in force.
PAYMENT_SERVICES: Final = ('pay', 'spare')
HOST: Final = 'shop.example'
CONFIG_TOPIC: Final = 'keyed.op'
CONFIG_APPLY_S: Final = 2.5  # after a configuration was acknowledged


@attrs.frozen(kw_only=True)
class SoakPlan:
    """Hold the choices of one run; the seed decides all others."""

    seed: int = 1
    seconds: float = attrs.field(
        default=25.0,
        validator=(attrs.validators.gt(0), attrs.validators.le(MAX_SECONDS)),
    )
    gateways: int = attrs.field(
        default=12,
        validator=(attrs.validators.ge(1), attrs.validators.le(MAX_GATEWAYS)),
    )
    servers: int = attrs.field(default=20, validator=attrs.validators.ge(3))
    callers: int = attrs.field(default=60, validator=attrs.validators.ge(1))
    # Groups of answers, see ``answers.GROUPS``.
    answers: tuple[str, ...] = ('faulty', 'stated', 'copied')
    # Of the links before servers and gateways; both 0: no links.
    link_ms: float = attrs.field(default=0, validator=attrs.validators.ge(0))
    link_mbps: float = attrs.field(default=0, validator=attrs.validators.ge(0))
    disrupted: bool = True
    disruptions: tuple[str, ...] = ()  # kinds; empty: all
    # Servers that have a second entry, of a name that is gone, at any time.
    stale_entries: int = attrs.field(
        default=4, validator=attrs.validators.ge(0)
    )
    # Whether callers send ids again that were refused and did not run.
    repeat_ids: bool = True
    # Callers beyond the others that send several requests at once.
    pipelined: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    # Whether there are customers with keys, quotas, homes and evacuations.
    customers: bool = False
    # Whether callers ask for one path that is popular, and for one that crashes
    # its servers; domains crash too.
    crashes: bool = False
    # Whether the configuration has many routes, of which some change, and the
    # regions share a narrow link.
    large: bool = False
    routes: int = attrs.field(default=1400, validator=attrs.validators.ge(0))
    region_mbps: float = attrs.field(
        default=30, validator=attrs.validators.gt(0)
    )
    checkout: str = ''  # of the build to run; empty: the installed one

    @property
    def weights(self) -> dict[str, float]:
        """Return the weight of each answer of a server."""
        return weights_of(self.answers)

    @property
    def copies(self) -> bool:
        """Return whether servers repeat refusals of ids that return."""
        return COPIED in self.answers
