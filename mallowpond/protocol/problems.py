"""Refusals as problem documents (RFC 9457) that state whether the request ran."""

import json
from dataclasses import dataclass
from enum import Enum
from math import ceil

CONTENT_TYPE = "application/problem+json"


class Outcome(str, Enum):
    """What is known of the execution of a refused request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in_progress"
    ALREADY_RUN = "already_run"


@dataclass(frozen=True, kw_only=True)
class Problem:
    """The refusal of a request; `retry_after` is in seconds."""

    status: int
    reason: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None

    def body(self, request: str) -> bytes:
        """Return the JSON document; client libraries read its `error` object."""
        document = {
            "type": f"urn:mallowpond:{self.reason}",
            "title": self.reason.replace("_", " "),
            "status": self.status,
            "detail": self.detail,
            "reason": self.reason,
            "outcome": self.outcome.value,
            "request": request,
            "error": {
                "message": self.detail,
                "type": self.reason,
                "code": self.outcome.value,
            },
        }
        return json.dumps(document).encode()

    def headers(self, request: str) -> tuple[tuple[str, str], ...]:
        """Return the headers that accompany the document."""
        headers = (
            ("mallowpond-request", request),
            ("mallowpond-outcome", self.outcome.value),
            # Client libraries of completion APIs retry by default. A request that ran,
            # or whose outcome is unknown, must not be sent again.
            ("x-should-retry", "true" if self._may_retry else "false"),
        )
        if self.retry_after is None:
            return headers
        return (*headers, ("retry-after", str(max(1, ceil(self.retry_after)))))

    @property
    def _may_retry(self) -> bool:
        is_not_run = self.outcome is Outcome.NOT_RUN
        return is_not_run and self.retry_after is not None
