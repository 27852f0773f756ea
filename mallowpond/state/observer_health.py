"""Detect that an observer itself is the likely cause of the failures that it sees.

Engines fail alone, a few at a time, or with their domain. If many targets of several
domains stop answering one observer within a second, the likelier cause is the observer:
a saturated link, an exhausted processor, or a network partition. Without this check, a
planner that could not read its answers removed 852 of 1,095 healthy targets from their
groups.
"""

from collections import deque

# Numbers of silent targets and of their domains from which the observer is suspect and
# asks another one, and the window in seconds in which they are counted. Fewer targets
# may fail together by chance.
MIN_SILENT_TARGETS = 8
MIN_SILENT_DOMAINS = 2
SILENCE_WINDOW_SECONDS = 1.0


class ObserverHealth:
    """Sliding window of the targets that did not answer this observer."""

    def __init__(self) -> None:
        self._silent: deque[tuple[float, str, str]] = deque()

    def record_silence(self, target: str, domain: str, now: float) -> None:
        """Record that a target did not answer."""
        self._silent.append((now, target, domain))

    def is_suspect(self, now: float) -> bool:
        """Return whether the recent silence suggests a fault of the observer."""
        targets, domains = self.count_silent(now)
        return targets >= MIN_SILENT_TARGETS and domains >= MIN_SILENT_DOMAINS

    def count_silent(self, now: float) -> tuple[int, int]:
        """Return the numbers of the recently silent targets and of their domains."""
        while self._silent and now - self._silent[0][0] > SILENCE_WINDOW_SECONDS:
            self._silent.popleft()
        targets = {target for _, target, _ in self._silent}
        domains = {domain for _, _, domain in self._silent}
        return len(targets), len(domains)
