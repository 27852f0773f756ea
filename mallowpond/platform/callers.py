"""Read callers' requests as the platform's protocol writes them."""

from math import isfinite

from mallowpond.node.ports import CallerRequest, Headers, InvalidRequest
from mallowpond.platform import headers as names
from mallowpond.transport.http_client import HttpResponse
from mallowpond.transport.http_server import HttpRequest

KEY_SCHEME = "bearer "
# Tokens above which a count is none: a thousand times the largest context in use; sums
# of such counts go to other nodes, which read whole numbers up to 2**53.
MAX_TOKENS = 2**31


class PlatformCallerProtocol:
    """Turn requests into the product's words, and answers back."""

    def read(self, request: HttpRequest) -> CallerRequest | InvalidRequest:
        """Return the request in the product's words."""
        found = request.headers
        attempt = found.get(names.ATTEMPT, "")
        if not attempt:
            return InvalidRequest(reason=f"{names.ATTEMPT} is missing")
        prompt, answer = _parse_token_counts(found.get(names.TOKEN_COUNTS, ""))
        return CallerRequest(
            id=attempt,
            host=found.get("host", "").partition(":")[0].lower(),
            method=request.method,
            target=request.target,
            body=request.body,
            forwarded_headers=_forwarded(request.header_list),
            key=_bearer_key(found.get(names.AUTHORIZATION, "")),
            seconds_left=_parse_deadline(found.get(names.DEADLINE, "")),
            model=found.get(names.MODEL),
            prompt_tokens=prompt,
            answer_tokens=answer,
            last_event=found.get(names.LAST_EVENT),
        )

    def answer_headers(self, response: HttpResponse) -> Headers:
        """Return the headers of a target's answer that go to the caller."""
        return tuple(
            (name, value)
            for name, value in response.header_list
            if name not in names.HOP_BY_HOP
        )


def _forwarded(headers: Headers) -> Headers:
    connection = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    dropped = names.HOP_BY_HOP | names.SYSTEM_HEADERS | connection
    host = tuple((n, v) for n, v in headers if n == "host")
    return host + tuple((n, v) for n, v in headers if n not in dropped)


def _bearer_key(authorization: str) -> str | None:
    if not authorization.lower().startswith(KEY_SCHEME):
        return None
    return authorization[len(KEY_SCHEME) :].strip()


def _parse_deadline(text: str) -> float | None:
    try:
        seconds = float(text) / 1000.0
    except ValueError:
        return None
    return max(0.0, seconds) if isfinite(seconds) else None


def _parse_token_counts(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(",")
    try:
        counts = int(prompt), int(answer or 0)
    except ValueError:
        return 0, 0
    return counts if all(0 <= count <= MAX_TOKENS for count in counts) else (0, 0)
