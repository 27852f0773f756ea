"""The real clock behind the `Clock` port."""

import asyncio
import time


class MonotonicClock:
    """Read this host's monotonic clock."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await asyncio.sleep(seconds)
