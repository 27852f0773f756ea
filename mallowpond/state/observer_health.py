"""Tell when an observer should doubt itself rather than what it observes.

Engines die alone, by the handful, or with their domain. Where many of several domains
fall silent for one observer within a second, the observer is the likelier cause: a link
that is full, a processor that is used up, a cut. Taken at its word, a planner that
could not read its answers had 852 of 1,095 sound targets taken out of their groups.
"""

from collections import deque

# Targets that fall silent within a time in seconds, and the domains that they are of,
# from which the observer asks another one: more than die together by chance.
MIN_SILENT_TARGETS = 8
MIN_SILENT_DOMAINS = 2
SILENCE_WINDOW_SECONDS = 1.0


class ObserverHealth:
    """Count what fell silent for this observer of late."""

    def __init__(self) -> None:
        self._silent: deque[tuple[float, str, str]] = deque()

    def record_silence(self, target: str, domain: str, now: float) -> None:
        """Note that a target does not answer."""
        self._silent.append((now, target, domain))

    def is_suspect(self, now: float) -> bool:
        """Tell whether what fell silent of late says more of the observer."""
        while self._silent and now - self._silent[0][0] > SILENCE_WINDOW_SECONDS:
            self._silent.popleft()
        targets = {target for _, target, _ in self._silent}
        domains = {domain for _, _, domain in self._silent}
        return len(targets) >= MIN_SILENT_TARGETS and len(domains) >= MIN_SILENT_DOMAINS
