"""Validated JSON settings of each role."""

import json
import pathlib
from typing import Any, TypeVar

import attrs

from .address import split_address
from .errors import WagtailforkError
from .results import ResultCode
from .structure import parse_plain

SettingsType = TypeVar('SettingsType')


def _check_address(_owner: Any, _attribute: Any, text: str) -> None:
    split_address(text)


STOP_MARGIN_S = 0.8  # to append the last traffic sums and to exit
_POSITIVE: Any = attrs.validators.gt(0)


@attrs.frozen(kw_only=True)
class Timing:
    """Hold the intervals, timeouts and lifetimes of an entry VM."""

    heartbeat_s: float = attrs.field(default=1.0, validator=_POSITIVE)
    peer_down_s: float = attrs.field(default=2.0, validator=_POSITIVE)
    vm_list_poll_s: float = attrs.field(default=2.0, validator=_POSITIVE)
    log_poll_s: float = attrs.field(default=1.0, validator=_POSITIVE)
    log_timeout_s: float = attrs.field(default=3.0, validator=_POSITIVE)
    directory_ttl_s: float = attrs.field(default=5.0, validator=_POSITIVE)
    claim_timeout_s: float = attrs.field(default=0.5, validator=_POSITIVE)
    default_deadline_s: float = attrs.field(default=10.0, validator=_POSITIVE)
    caller_stall_s: float = attrs.field(default=30.0, validator=_POSITIVE)
    traffic_flush_s: float = attrs.field(default=10.0, validator=_POSITIVE)
    key_slot_s: float = attrs.field(default=60.0, validator=_POSITIVE)
    range_lifetime_s: float = attrs.field(default=3600.0, validator=_POSITIVE)
    snapshot_every_s: float = attrs.field(default=600.0, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Hold the settings of one ``entry`` process."""

    vm: str = attrs.field(validator=attrs.validators.min_len(1))
    region: str = attrs.field(validator=attrs.validators.min_len(1))
    failure_domain: str = attrs.field(validator=attrs.validators.min_len(1))
    caller_address: str = attrs.field(validator=_check_address)
    peer_address: str = attrs.field(validator=_check_address)
    admin_address: str = attrs.field(validator=_check_address)
    log_url: str
    vm_list_url: str
    timing: Timing = attrs.field(factory=Timing)
    log_level: str = attrs.field(
        default='INFO',
        validator=attrs.validators.in_(('DEBUG', 'INFO', 'WARNING', 'ERROR')),
    )
    snapshot_every_records: int = attrs.field(default=500, validator=_POSITIVE)
    lend_slots: bool = True
    far_link_bytes_per_s: float = attrs.field(
        default=200_000.0,
        validator=_POSITIVE,
    )
    queue_limit: int = attrs.field(default=64, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class RetryShare:
    """Limit retries and hedged requests to a service, over all VMs.

    A sliding window of ``window_s`` allows ``ratio`` retries for each
    request, plus ``slack``.
    """

    ratio: float = attrs.field(default=0.2, validator=_POSITIVE)
    slack: float = attrs.field(default=10.0, validator=_POSITIVE)
    window_s: float = attrs.field(default=10.0, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Hold the settings of one ``gateway`` process.

    ``regions`` maps each failure domain to its region.
    """

    vm: str = attrs.field(validator=attrs.validators.min_len(1))
    region: str = attrs.field(validator=attrs.validators.min_len(1))
    failure_domain: str = attrs.field(validator=attrs.validators.min_len(1))
    regions: dict[str, str]
    caller_address: str = attrs.field(validator=_check_address)
    ready_address: str = attrs.field(validator=_check_address)
    directory_address: str = attrs.field(validator=_check_address)
    fleet_address: str = attrs.field(validator=_check_address)
    store_address: str = attrs.field(validator=_check_address)
    metrics_address: str | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(_check_address),
    )
    # Long, since a call to the store costs two thirds of what an answered
    # call earns.
    traffic_flush_s: float = attrs.field(default=60.0, validator=_POSITIVE)
    # Within this time, a key that the configuration lacks must be refused even
    # by a VM that reaches nobody; no limit if missing.
    revocation_limit_ms: float | None = attrs.field(
        default=None, validator=attrs.validators.optional(_POSITIVE)
    )
    # Within this time after its acknowledgement a configuration must be in
    # force; a VM that may lack one that old does not call a request wrong.
    configuration_limit_ms: float = attrs.field(
        default=2500, validator=_POSITIVE
    )
    # Whether coordinators refer requests to those of other failure domains.
    spill: bool = False
    # Whether the whole fleet starts for the first time, before any caller.
    first_start: bool = False
    retries: RetryShare = attrs.field(factory=RetryShare)
    # Half of 6 s, the shortest limit that users set on a planned stop.
    stop_accepts_s: float = attrs.field(default=3.0, validator=_POSITIVE)
    # Time from the signal to stop until the platform kills the process.
    stop_grace_s: float = attrs.field(default=6.0, validator=_POSITIVE)
    directory_ttl_s: float = attrs.field(default=2.0, validator=_POSITIVE)
    # Longest wait of a poll. The polls of two topics alternate, so a store that
    # does not answer is known after half of it and 0.6 s; with 0.9 s for
    # another VM to take over, that is the users' limit for a change, 2.5 s.
    store_wait_s: float = attrs.field(
        default=2.0, validator=[_POSITIVE, attrs.validators.le(2)]
    )
    store_settle_s: float = attrs.field(default=0.1, validator=_POSITIVE)
    # Cost of a megabyte sent to another failure domain and to another region,
    # in answered calls.
    near_price: float = attrs.field(default=30.0, validator=_POSITIVE)
    far_price: float = attrs.field(default=50.0, validator=_POSITIVE)
    log_lines_per_s: float = attrs.field(default=200.0, validator=_POSITIVE)
    log_level: str = attrs.field(
        default='INFO',
        validator=attrs.validators.in_(('DEBUG', 'INFO', 'WARNING', 'ERROR')),
    )

    @property
    def stop_limit_s(self) -> float:
        """Return the seconds after which a stop breaks off requests."""
        return max(self.stop_accepts_s, self.stop_grace_s - STOP_MARGIN_S)


def parse_settings(
    text: str, settings_type: type[SettingsType]
) -> SettingsType:
    """Parse and validate settings from JSON text.

    >>> parse_settings('{"heartbeat_s": 1}', Timing).heartbeat_s
    1.0
    >>> parse_settings('{"heartbeat": 1}', Timing)
    Traceback (most recent call last):
    ...
    wagtailfork.core.errors.WagtailforkError: code=6002 ...
    """
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise WagtailforkError(
            ResultCode.settings_unreadable,
            str(exc),
        ) from exc
    return parse_plain(raw, settings_type, ResultCode.settings_invalid)


def load_settings(path: str, settings_type: type[SettingsType]) -> SettingsType:
    """Read, parse and validate a settings file."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise WagtailforkError(
            ResultCode.settings_unreadable,
            str(exc),
        ) from exc
    return parse_settings(text, settings_type)
