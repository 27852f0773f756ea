"""Header names of the platform's protocol."""

ATTEMPT = "x-mallowpond-attempt-id"
SERVER_STAMP = "x-mallowpond-server-stamp"
# Time until the caller's deadline, in milliseconds.
DEADLINE = "x-mallowpond-deadline-ms"
EXPECT_INSTANCE = "x-mallowpond-expect-instance"
INSTANCE = "x-mallowpond-instance-id"
NOT_RUN = "x-mallowpond-not-executed"
# Requests per second that an engine accepts from all hosts together.
RATE_LIMIT = "server-limit"
# Sent with every answer of an engine that is about to stop.
LEAVING = "server-leaving"
# Sent with answers to health checks: how much longer the engine stays cold, in
# milliseconds.
COLD = "x-mallowpond-cold-ms"
# Seconds for which a host must send no requests; an engine sends it with a refusal.
RETRY_AFTER = "retry-after"
WORKSPACE = "x-mallowpond-tenant"
MODEL = "x-mallowpond-model"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNTS = "x-mallowpond-token-counts"
# Parts of the prompt as comma-separated ID:TOKENS entries, in their order.
PROMPT_PARTS = "x-mallowpond-prompt-prefix"
LAST_EVENT = "last-event-id"
AUTHORIZATION = "authorization"
# Sent with every answer of the store: how often it came back from an older copy.
STORE_ERA = "store-era"

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
# Headers to engines that only this system may set; those of callers are dropped.
SYSTEM_HEADERS = frozenset(
    {AUTHORIZATION, DEADLINE, WORKSPACE, EXPECT_INSTANCE, LAST_EVENT}
)
