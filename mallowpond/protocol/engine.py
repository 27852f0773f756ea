"""Headers that gateways and engines exchange."""

REQUEST_HEADER = "mallowpond-request"
GROUP_HEADER = "mallowpond-group"
GENERATION_HEADER = "mallowpond-generation"
# Number of requests that the group is running, in a response.
LOAD_HEADER = "mallowpond-load"
# The caller's idempotency key.
KEY_HEADER = "mallowpond-key"
# Number of events of a stream that the caller has received already.
RESUME_HEADER = "mallowpond-resume-after"
# A response with `NOT_STARTED` in this header means that the engine ran nothing.
OUTCOME_HEADER = "mallowpond-outcome"
NOT_STARTED = "not_started"


def dispatch_headers(
    request: str, group: str, generation: int
) -> tuple[tuple[str, str], ...]:
    """Return the headers that an engine copies into its response."""
    return (
        (REQUEST_HEADER, request),
        (GROUP_HEADER, group),
        (GENERATION_HEADER, str(generation)),
    )


def is_echo(headers: dict[str, str], request: str, group: str, generation: int) -> bool:
    """Return whether the headers of a response name this dispatch."""
    expected = dispatch_headers(request, group, generation)
    return all(headers.get(name) == value for name, value in expected)
