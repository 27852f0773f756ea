"""Fingerprints by which a request is recognised when its caller retries it."""

from hashlib import blake2b

FINGERPRINT_BYTES = 8
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
