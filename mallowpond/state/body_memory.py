"""Bound the request bodies that a process holds at one time.

The load pattern: many clients send bodies of the allowed size at once, also after other
hosts were lost. Each body stays within its own limit, but together they exceed the
memory of the process, which is then killed with all requests in progress.
"""

# Bytes of bodies that are held at one time: with their copies on the way to the targets
# they take three times as much.
MAX_HELD_BYTES = 48 * 1024 * 1024
# Bodies up to this size may use all of that, larger ones a share of it, so that a few
# large ones do not have the small ones refused.
SMALL_BODY_BYTES = 64 * 1024
LARGE_BODY_SHARE = 0.75


class BodyMemory:
    """Counts the bytes of the bodies that are held, and admits further ones."""

    def __init__(self, *, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held now."""
        return self._held_bytes

    def try_reserve(self, size: int, *, held_before: int = 0) -> bool:
        """Reserve `size` more bytes for a body of which `held_before` are held.

        A body that is alone is always admitted, as its own limit holds.
        """
        share = LARGE_BODY_SHARE if held_before + size > SMALL_BODY_BYTES else 1.0
        is_alone = self._held_bytes == held_before
        if not is_alone and self._held_bytes + size > share * self._max_bytes:
            return False
        self._held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release the bytes of a body that is no longer held."""
        self._held_bytes -= size
