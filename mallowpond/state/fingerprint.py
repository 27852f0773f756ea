"""Fingerprints by which a request is recognised when its caller retries it."""

from hashlib import blake2b

FINGERPRINT_BYTES = 8
SCOPE_BYTES = 4
LENGTH_BYTES = 8


def fingerprint(*, host: str, target: str, workspace: str | None, body: bytes) -> str:
    """Return the hexadecimal digest that an HTTP request shares with its retries.

    The request's id and deadline are left out, as both change with each retry.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (host.encode(), target.encode(), (workspace or "").encode(), body):
        # The length keeps the boundary between two parts unambiguous.
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()


def part_key(*, service: str, model: str, part: str) -> str:
    """Return the key of a part of prompts of one model.

    A part that crashes the targets of one model may be sound at another one, whose
    answers must not clear it.
    """
    scope = blake2b(f"{service}\0{model}".encode(), digest_size=SCOPE_BYTES)
    return f"{scope.hexdigest()}:{part}"


def is_part_key(key: str) -> bool:
    """Return whether a key is that of a part, not the fingerprint of a request."""
    return ":" in key
