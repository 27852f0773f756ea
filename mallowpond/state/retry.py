"""Keep retries from multiplying an overload."""

from dataclasses import dataclass, field

RETRY_SHARE = 0.1
BURST = 10.0


@dataclass(kw_only=True)
class RetryBudget:
    """Allow retries up to a share of fresh requests."""

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
        """Count a fresh request."""
        self._tokens = min(self.burst, self._tokens + self.share)

    def try_spend(self) -> bool:
        """Take one retry from the budget if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
