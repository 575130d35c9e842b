"""Claim parameters of one request."""

import attrs

from .keys import IdempotencyKey


@attrs.frozen(kw_only=True)
class ClaimSpec:
    """Hold what the register needs to claim the key of one request."""

    key: IdempotencyKey
    customer: str
    digest: str
    claim_id: str

    def scoped_key(self) -> str:
        """Return the key suffix qualified by customer."""
        return f'{self.customer}/{self.key.suffix}'
