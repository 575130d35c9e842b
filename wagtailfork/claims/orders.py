"""What a request asks of its key's register."""

import attrs

from .keys import IdempotencyKey


@attrs.frozen(kw_only=True)
class ClaimOrder:
    """Ask for the right to dispatch one request under one key."""

    key: IdempotencyKey
    customer: str
    digest: str
    claim_id: str

    def scoped_key(self) -> str:
        """Name the key within its customer."""
        return f'{self.customer}/{self.key.suffix}'
