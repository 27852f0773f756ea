"""Retry budget that keeps retries from amplifying an overload."""

from dataclasses import dataclass, field

# Retries earned by each new request, and the initial and maximum balance.
RETRY_SHARE = 0.1
BURST = 10.0


@dataclass(kw_only=True)
class RetryBudget:
    """Token bucket that allows retries up to a share of the new requests."""

    share: float = RETRY_SHARE
    burst: float = BURST
    _tokens: float = field(default=BURST, init=False)

    def __post_init__(self) -> None:
        self._tokens = self.burst

    @property
    def tokens(self) -> float:
        """Return how many retries could be made now."""
        return self._tokens

    def record_request(self) -> None:
        """Add the share of a new request to the budget."""
        self._tokens = min(self.burst, self._tokens + self.share)

    def try_spend(self) -> bool:
        """Take one retry from the budget, False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
