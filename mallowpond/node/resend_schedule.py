"""Tell each piece of news several times, as datagrams get lost."""

import asyncio
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from mallowpond.coordination.ports import Clock
from mallowpond.coordination.tasks import sleep_until_event

# Pause between two tellings, in seconds: what is told in one is bounded.
TELL_SECONDS = 0.1

Key = TypeVar("Key", bound=Hashable)


class ResendSchedule(Generic[Key]):
    """Schedule what is told, and how often it was.

    `pauses` are those before each telling of one piece, in seconds, and `at_once` is
    how many pieces are told together.
    """

    def __init__(
        self, *, clock: Clock, pauses: tuple[float, ...], at_once: int
    ) -> None:
        self._clock = clock
        self._pauses = pauses
        self._at_once = at_once
        # When each piece is told next, and which of its tellings that is.
        self._due: dict[Key, tuple[float, int]] = {}
        self._news = asyncio.Event()

    def __contains__(self, key: Key) -> bool:
        return key in self._due

    def __len__(self) -> int:
        return len(self._due)

    def add(self, key: Key) -> None:
        """Tell a piece of news as often as each, from now on."""
        self._due[key] = (self._clock.now() + self._pauses[0], 1)
        self._news.set()

    def drop(self, key: Key) -> None:
        """Tell a piece no more."""
        self._due.pop(key, None)

    def take_due(self) -> list[Key]:
        """Return what is to be told now, and schedule its next telling."""
        now = self._clock.now()
        due = [key for key, (at, _) in self._due.items() if at <= now]
        for key in due[: self._at_once]:
            times = self._due.pop(key)[1]
            if times < len(self._pauses):
                self._due[key] = (now + self._pauses[times], times + 1)
        return due[: self._at_once]

    async def run(self, send_due: Callable[[], None]) -> None:
        """Call `send_due` whenever something is due, until cancelled."""
        while True:
            self._news.clear()
            if not self._due:
                await self._news.wait()
                continue
            seconds = min(at for at, _ in self._due.values()) - self._clock.now()
            if seconds > 0.0:
                await sleep_until_event(self._clock, seconds, self._news)
                continue
            send_due()
            await self._clock.sleep(TELL_SECONDS)
