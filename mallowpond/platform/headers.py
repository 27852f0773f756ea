"""Header names of the platform's protocol."""

ATTEMPT = "x-mallowpond-attempt-id"
SERVER_STAMP = "x-mallowpond-server-stamp"
# What is left of the time that the caller waits, in milliseconds.
DEADLINE = "x-mallowpond-deadline-ms"
EXPECT_INSTANCE = "x-mallowpond-expect-instance"
INSTANCE = "x-mallowpond-instance-id"
NOT_RUN = "x-mallowpond-not-executed"
# Requests a second that an engine takes from all hosts together.
RATE_LIMIT = "server-limit"
# Set in every answer of an engine that is about to stop.
LEAVING = "server-leaving"
# Seconds, as an engine writes it to a host that it turns away.
RETRY_AFTER = "retry-after"
WORKSPACE = "x-mallowpond-tenant"
MODEL = "x-mallowpond-model"
# Prompt tokens and the most output tokens, separated by a comma.
TOKEN_COUNTS = "x-mallowpond-token-counts"
LAST_EVENT = "last-event-id"
AUTHORIZATION = "authorization"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        "host",
    }
)
# Headers that only this system may set towards an engine.
SYSTEM_HEADERS = frozenset(
    {AUTHORIZATION, DEADLINE, WORKSPACE, EXPECT_INSTANCE, LAST_EVENT}
)
