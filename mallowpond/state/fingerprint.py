"""Name what stays the same when a caller sends a request again."""

from hashlib import blake2b

FINGERPRINT_BYTES = 8
LENGTH_BYTES = 8


def fingerprint(*, host: str, target: str, workspace: str | None, body: bytes) -> str:
    """Return the name that a request and its returns share, in hexadecimal.

    Neither the request's id nor its deadline counts: both change with each return.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (host.encode(), target.encode(), (workspace or "").encode(), body):
        # With its length, no part can borrow bytes from the next one.
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
