"""Run tasks beside each other until one of them gives the result that is needed."""

import asyncio
from collections.abc import Coroutine
from types import TracebackType
from typing import Generic, TypeVar

T = TypeVar("T")


class TaskRace(Generic[T]):
    """Tasks that run until they end or the race does, which cancels the others."""

    def __init__(self) -> None:
        # In the order of their start, in which those that end together are returned.
        self._tasks: list[asyncio.Task[T]] = []

    @property
    def running(self) -> list[asyncio.Task[T]]:
        """Return the tasks that `wait` has not returned yet."""
        return list(self._tasks)

    async def __aenter__(self) -> "TaskRace[T]":
        """Begin the race."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the tasks that still run, and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def start(self, work: Coroutine[None, None, T]) -> asyncio.Task[T]:
        """Start a task."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def wait(self, seconds: float | None = None) -> asyncio.Task[T] | None:
        """Return a task that has ended, None if none has after `seconds`."""
        timeout = None if seconds is None else max(0.0, seconds)
        ended, _ = await asyncio.wait(
            self._tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        for task in self._tasks:
            if task in ended:
                self._tasks.remove(task)
                return task
        return None
