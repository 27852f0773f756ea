"""Decode callers' requests from the headers of the platform's protocol."""

import re
from math import isfinite

from mallowpond.node.ports import CallerRequest, Headers, InvalidRequest
from mallowpond.platform import headers as names
from mallowpond.transport.http_client import HttpResponse
from mallowpond.transport.http_server import HttpRequest

KEY_SCHEME = "bearer "
# Larger token counts are invalid. This is a thousand times the largest context in use;
# sums of counts are sent to other nodes, which decode integers up to 2**53.
MAX_TOKENS = 2**31
# Number of a prompt's parts that are told apart; further ones are ignored. Each part
# whose request a target ends under costs memory and a record for other hosts.
MAX_SHARED_PARTS = 16
# Ids of parts are hexadecimal; others are ignored, since they go into keys and logs.
PART_ID = re.compile(r"[0-9a-fA-F]{1,32}")


class PlatformCallerProtocol:
    """Decodes callers' requests, and selects the headers of answers."""

    def read(self, request: HttpRequest) -> CallerRequest | InvalidRequest:
        """Return the decoded request, or why it cannot be decoded."""
        headers = request.headers
        attempt = headers.get(names.ATTEMPT, "")
        if not attempt:
            return InvalidRequest(reason=f"{names.ATTEMPT} is missing")
        prompt, answer = _parse_token_counts(headers.get(names.TOKEN_COUNTS, ""))
        return CallerRequest(
            id=attempt,
            host=headers.get("host", "").partition(":")[0].lower(),
            method=request.method,
            target=request.target,
            body=request.body,
            forwarded_headers=_forwarded(request.header_list),
            key=_bearer_key(headers.get(names.AUTHORIZATION, "")),
            seconds_left=_parse_deadline(headers.get(names.DEADLINE, "")),
            model=headers.get(names.MODEL),
            prompt_tokens=prompt,
            answer_tokens=answer,
            last_event=headers.get(names.LAST_EVENT),
            shared_parts=_parse_shared_parts(headers.get(names.PROMPT_PARTS, "")),
        )

    def answer_headers(self, response: HttpResponse) -> Headers:
        """Return the headers of a target's answer that go to the caller."""
        return tuple(
            (name, value)
            for name, value in response.header_list
            if name not in names.HOP_BY_HOP
        )


def _forwarded(headers: Headers) -> Headers:
    """Return the headers that go to the target, `host` first.

    Headers of one connection only, and those that only this system sets, are left out.
    """
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
    """Return the API key, None unless the scheme is Bearer."""
    if not authorization.lower().startswith(KEY_SCHEME):
        return None
    return authorization[len(KEY_SCHEME) :].strip()


def _parse_deadline(text: str) -> float | None:
    """Return the remaining time in seconds, None if the header is not a number."""
    try:
        seconds = float(text) / 1000.0
    except ValueError:
        return None
    return max(0.0, seconds) if isfinite(seconds) else None


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Return the prompt and answer tokens, (0, 0) if a count is invalid."""
    prompt, _, answer = text.partition(",")
    try:
        counts = int(prompt), int(answer or 0)
    except ValueError:
        return 0, 0
    return counts if all(0 <= count <= MAX_TOKENS for count in counts) else (0, 0)


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the valid ids of all parts but the last, without duplicates."""
    # A caller's header may list thousands of parts, of which only the first are split.
    entries = text.split(",", MAX_SHARED_PARTS)[:-1]
    ids = (entry.partition(":")[0].strip() for entry in entries)
    return tuple(dict.fromkeys(i.lower() for i in ids if PART_ID.fullmatch(i)))
