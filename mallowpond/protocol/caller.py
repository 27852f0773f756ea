"""Parse callers' requests to the completions API."""

import json
from dataclasses import dataclass
from hashlib import blake2b, sha256
from typing import Any

from mallowpond.protocol.problems import Problem

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 131072
PREFIX_CHARACTERS = 256
# Number of a chat's messages that are told apart from the first on.
MAX_SHARED_PARTS = 16
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
MAX_TIMEOUT_SECONDS = 3600.0
KIND_HEADER = "mallowpond-kind"
TIMEOUT_HEADER = "mallowpond-timeout"
IDEMPOTENCY_HEADER = "idempotency-key"


@dataclass(frozen=True, kw_only=True)
class CompletionRequest:
    """The fields of a completion request that the gateway uses.

    `prefix` is a hash of the start of the prompt or of the first message; requests with
    the same one may share a cached prefix. `shared_parts` are hashes of all messages of
    a chat but the last.
    """

    model: str
    stream: bool
    max_tokens: int
    prefix: str
    shared_parts: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class CallerHeaders:
    """The headers of a request that the gateway uses; `timeout` is in seconds.

    `key_sha256` is the hash of the API key. `kind` is the name of a request kind in the
    operators' declaration.
    """

    key_sha256: str | None
    idempotency_key: str | None
    kind: str | None
    timeout: float


def parse_headers(
    headers: dict[str, str], default_timeout: float
) -> CallerHeaders | Problem:
    """Parse the headers of a caller's request; return a problem if one is invalid."""
    idempotency_key = headers.get(IDEMPOTENCY_HEADER)
    if idempotency_key is not None and not _is_valid_idempotency_key(idempotency_key):
        return _bad_request(
            "bad_idempotency_key", "An Idempotency-Key has 1 to 200 characters."
        )
    timeout = _timeout(headers.get(TIMEOUT_HEADER), default_timeout)
    if timeout is None:
        return _bad_request(
            "bad_timeout", f"{TIMEOUT_HEADER} is a number of seconds above 0."
        )
    return CallerHeaders(
        key_sha256=_api_key_hash(headers.get("authorization", "")),
        idempotency_key=idempotency_key,
        kind=headers.get(KIND_HEADER),
        timeout=timeout,
    )


def parse_completion(body: bytes, *, is_chat: bool) -> CompletionRequest | Problem:
    """Parse the body of a completion request; return a problem if it is invalid.

    The field `n` must be absent, null or 1.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return _bad_request("malformed_json", "The body is not JSON.")
    if not isinstance(document, dict):
        return _bad_request("malformed_json", "The body is not a JSON object.")
    if not isinstance(document.get("model"), str):
        return _bad_request("bad_field", "'model' is a text.")
    if not isinstance(document.get("stream") or False, bool):
        return _bad_request("bad_field", "'stream' is true or false.")
    if document.get("n") not in (None, 1):
        return _bad_request("bad_field", "'n' above 1 is not served.")
    tokens = _max_tokens(document)
    if tokens is None:
        return _bad_request(
            "bad_field", f"'max_tokens' is from 1 to {MAX_TOKENS_LIMIT}."
        )
    prefix = _chat_prefix(document) if is_chat else _prompt_prefix(document)
    if prefix is None:
        field = "'messages' is a list of objects" if is_chat else "'prompt' is a text"
        return _bad_request("bad_field", f"{field}, and not empty.")
    return CompletionRequest(
        model=document["model"],
        stream=bool(document.get("stream")),
        max_tokens=tokens,
        prefix=prefix,
        shared_parts=_shared_parts(document) if is_chat else (),
    )


def _bad_request(reason: str, detail: str) -> Problem:
    return Problem(status=400, reason=reason, detail=detail)


def _is_valid_idempotency_key(key: str) -> bool:
    return 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS and key.isprintable()


def _timeout(text: str | None, default: float) -> float | None:
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        return None
    # NaN compares false with everything, so it is rejected here as well.
    return min(seconds, MAX_TIMEOUT_SECONDS) if seconds > 0 else None


def _api_key_hash(authorization: str) -> str | None:
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer" or not token:
        return None
    return sha256(token.strip().encode("latin-1", "replace")).hexdigest()


def _max_tokens(document: dict[str, Any]) -> int | None:
    value = document.get("max_completion_tokens", document.get("max_tokens"))
    if value is None:
        return DEFAULT_MAX_TOKENS
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value if 1 <= value <= MAX_TOKENS_LIMIT else None


def _chat_prefix(document: dict[str, Any]) -> str | None:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return None
    if not all(isinstance(m, dict) and "content" in m for m in messages):
        return None
    return _prefix_digest(json.dumps(messages[0]))


def _shared_parts(document: dict[str, Any]) -> tuple[str, ...]:
    earlier = document["messages"][:-1][:MAX_SHARED_PARTS]
    texts = (json.dumps(message, sort_keys=True) for message in earlier)
    hashes = (blake2b(text.encode(), digest_size=8).hexdigest() for text in texts)
    return tuple(dict.fromkeys(hashes))


def _prompt_prefix(document: dict[str, Any]) -> str | None:
    prompt = document.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        return None
    return _prefix_digest(prompt)


def _prefix_digest(text: str) -> str:
    start = text[:PREFIX_CHARACTERS].encode("utf-8", "replace")
    return blake2b(start, digest_size=8).hexdigest()
