"""Read what callers send to the completions interface."""

import json
from dataclasses import dataclass
from hashlib import blake2b, sha256
from typing import Any

from mallowpond.protocol.problems import Problem

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 131072
PREFIX_CHARACTERS = 256
MAX_KEY_CHARACTERS = 200
MAX_TIMEOUT_SECONDS = 3600.0
KIND_HEADER = "mallowpond-kind"
TIMEOUT_HEADER = "mallowpond-timeout"
IDEMPOTENCY_HEADER = "idempotency-key"


@dataclass(frozen=True, kw_only=True)
class CompletionRequest:
    """Hold what the gateway needs to know of a completion."""

    model: str
    stream: bool
    max_tokens: int
    prefix: str


@dataclass(frozen=True, kw_only=True)
class CallerHeaders:
    """Hold what the gateway needs to know of a caller's headers."""

    key_sha256: str | None
    idempotency_key: str | None
    kind: str | None
    timeout: float


def parse_headers(
    headers: dict[str, str], default_timeout: float
) -> CallerHeaders | Problem:
    """Read the headers of a caller's request."""
    key = headers.get(IDEMPOTENCY_HEADER)
    if key is not None and not _is_plain_key(key):
        return _bad(
            "bad_idempotency_key", "An Idempotency-Key has 1 to 200 characters."
        )
    timeout = _timeout(headers.get(TIMEOUT_HEADER), default_timeout)
    if timeout is None:
        return _bad("bad_timeout", f"{TIMEOUT_HEADER} is a number of seconds above 0.")
    return CallerHeaders(
        key_sha256=_key_hash(headers.get("authorization", "")),
        idempotency_key=key,
        kind=headers.get(KIND_HEADER),
        timeout=timeout,
    )


def parse_completion(body: bytes, *, is_chat: bool) -> CompletionRequest | Problem:
    """Read the body of a completion."""
    try:
        asked = json.loads(body)
    except (ValueError, RecursionError):
        return _bad("malformed_json", "The body is not JSON.")
    if not isinstance(asked, dict):
        return _bad("malformed_json", "The body is not a JSON object.")
    if not isinstance(asked.get("model"), str):
        return _bad("bad_field", "'model' is a text.")
    if not isinstance(asked.get("stream") or False, bool):
        return _bad("bad_field", "'stream' is true or false.")
    if asked.get("n") not in (None, 1):
        return _bad("bad_field", "'n' above 1 is not served.")
    tokens = _max_tokens(asked)
    if tokens is None:
        return _bad("bad_field", f"'max_tokens' is from 1 to {MAX_TOKENS_LIMIT}.")
    prefix = _chat_prefix(asked) if is_chat else _prompt_prefix(asked)
    if prefix is None:
        field = "'messages' is a list of objects" if is_chat else "'prompt' is a text"
        return _bad("bad_field", f"{field}, and not empty.")
    return CompletionRequest(
        model=asked["model"],
        stream=bool(asked.get("stream")),
        max_tokens=tokens,
        prefix=prefix,
    )


def _bad(reason: str, detail: str) -> Problem:
    return Problem(status=400, reason=reason, detail=detail)


def _is_plain_key(key: str) -> bool:
    return 0 < len(key) <= MAX_KEY_CHARACTERS and key.isprintable()


def _timeout(text: str | None, default: float) -> float | None:
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        return None
    # NaN compares false with everything, and so falls out here as well.
    return min(seconds, MAX_TIMEOUT_SECONDS) if seconds > 0 else None


def _key_hash(authorization: str) -> str | None:
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer" or not token:
        return None
    return sha256(token.strip().encode("latin-1", "replace")).hexdigest()


def _max_tokens(asked: dict[str, Any]) -> int | None:
    value = asked.get("max_completion_tokens", asked.get("max_tokens"))
    if value is None:
        return DEFAULT_MAX_TOKENS
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value if 1 <= value <= MAX_TOKENS_LIMIT else None


def _chat_prefix(asked: dict[str, Any]) -> str | None:
    messages = asked.get("messages")
    if not isinstance(messages, list) or not messages:
        return None
    if not all(isinstance(m, dict) and "content" in m for m in messages):
        return None
    return _digest(json.dumps(messages[0]))


def _prompt_prefix(asked: dict[str, Any]) -> str | None:
    prompt = asked.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        return None
    return _digest(prompt)


def _digest(text: str) -> str:
    start = text[:PREFIX_CHARACTERS].encode("utf-8", "replace")
    return blake2b(start, digest_size=8).hexdigest()
