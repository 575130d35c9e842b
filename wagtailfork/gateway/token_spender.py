"""Interface of the quotas to the parts that place requests."""

from typing import Final, Protocol

QUOTA: Final = 'quota'  # reason of a refusal


class TokenSpender(Protocol):
    """Spend and return tokens of customers; '' is no customer."""

    def spend(self, customer: str, now: float) -> None:
        """Spend a token; raise ``Refused`` if the quota is used up."""

    def spend_own(self, customer: str, now: float) -> None:
        """Spend a token for a request that this VM places itself."""

    def record_refused(self, customer: str, now: float) -> None:
        """Record that a coordinator had no token for a customer."""

    def give_back(self, customer: str, spent_at_s: float, now: float) -> None:
        """Return the token of a request that did not run."""


class UnlimitedSpender:
    """Limit no customer."""

    def spend(self, customer: str, now: float) -> None:
        """Admit the request."""

    def spend_own(self, customer: str, now: float) -> None:
        """Admit the request."""

    def record_refused(self, customer: str, now: float) -> None:
        """Ignore the refusal."""

    def give_back(self, customer: str, spent_at_s: float, now: float) -> None:
        """Ignore the token."""
