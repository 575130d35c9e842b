"""Customers, and the keys by which requests identify them."""

import hashlib
import secrets
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import attrs

MAX_KEY_BYTES: Final = 256  # a longer key belongs to nobody
_DIGEST_BYTES: Final = 16
_SECRET_BYTES: Final = 32


@attrs.frozen(kw_only=True)
class Customer:
    """Describe a customer; ``requests_per_s`` of 0 means no limit."""

    name: str
    rank: int | None = None  # goes before the rank of the route
    requests_per_s: float = 0
    burst: float = 0
    # Regions whose servers may serve it; all if empty.
    regions: frozenset[str] = frozenset()


class KeyTable:
    """Find customers by their keys, of which only digests are stored.

    The digests depend on a secret of the process, so the time of a look-up
    tells nothing of the keys that exist.

    >>> shop = Customer(name='shop')
    >>> table = KeyTable([(shop, ['a1', 'a2'])])
    >>> table.find(b'a2').name, table.find(b'A2'), table.find(b'')
    ('shop', None, None)
    """

    def __init__(
        self, keys: Iterable[tuple[Customer, Iterable[str]]] = ()
    ) -> None:
        """Index the keys; one that two customers hold identifies neither."""
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        self._by_digest: dict[bytes, Customer | None] = {}
        self._by_name: dict[str, Customer] = {}
        self.sharing: set[str] = set()  # customers with a key of another one
        self.faults: Mapping[str, int] = {}  # of the entries, by reason
        holders: dict[bytes, set[str]] = {}
        for customer, held in keys:
            self._by_name[customer.name] = customer
            for key in held:
                digest = self._digest(key.encode())
                names = holders.setdefault(digest, set())
                names.add(customer.name)
                self._by_digest[digest] = None if len(names) > 1 else customer
        for names in holders.values():
            if len(names) > 1:
                self.sharing.update(names)

    def __iter__(self) -> Iterator[Customer]:
        """Iterate over the customers."""
        return iter(self._by_name.values())

    def __len__(self) -> int:
        """Count the customers."""
        return len(self._by_name)

    def find(self, key: bytes) -> Customer | None:
        """Return the customer that holds a key, if any."""
        if not 0 < len(key) <= MAX_KEY_BYTES:
            return None
        return self._by_digest.get(self._digest(key))

    def customer(self, name: str) -> Customer | None:
        """Return a customer by its name."""
        return self._by_name.get(name)

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, key=self._secret, digest_size=_DIGEST_BYTES
        ).digest()
