"""Follow the configuration, and track how old its last confirmation is."""

import asyncio
from collections.abc import Callable

import structlog

from mallowpond.coordination.ports import Clock, Unavailable
from mallowpond.coordination.tasks import sleep_until_event
from mallowpond.node.evacuations import KnownEvacuations
from mallowpond.node.ports import ConfigurationRead, HistoryLost, SiteSource
from mallowpond.state.confirmation import (
    DENIAL_SECONDS,
    Confirmation,
    may_admit,
    may_deny,
    merge_confirmation,
)
from mallowpond.state.revision import era_of, is_later_era
from mallowpond.state.site_configuration import SiteConfiguration
from mallowpond.state.store_clock import StoreClock

log = structlog.get_logger()

# Longest time that a call waits at the store for a change, in seconds, and the largest
# share of the bound for revoked keys that it may take. An answer confirms the version
# as of the time when it left the store, so the age of a reader's confirmation stays
# roughly below the wait; when the store is lost, the bound is shorter by that age.
# Shorter waits make more calls. If the wait is too long for the bound, hosts that ask a
# reader reject keys although the store answers.
LONG_POLL_SECONDS = 1.5
LONG_POLL_SHARE = 0.3
# Pause after a failed call to the store, in seconds: a store that is down gets few
# calls, and a node recovers well within the bound for a change.
RETRY_SECONDS = 0.2
# The same for a host that need not retry often, in seconds. If no host reaches the
# store, frequent retries of a whole fleet only add load, and the first host that gets
# an answer informs the others.
SLOW_RETRY_SECONDS = 1.5
# Interval between version questions to the readers, in seconds, and the number of
# consecutive unanswered ones after which this host asks the store itself.
QUESTION_INTERVAL_SECONDS = 0.5
MAX_UNANSWERED_QUESTIONS = 3
# Time for which a host that learns of a newer version waits for the readers to send it,
# in seconds: long enough for a few datagrams, and a small part of the bound for a
# change. Without it, each host would read each version from the store.
DOCUMENT_WAIT_SECONDS = 0.3
# Revision that reads the newest configuration at once.
FROM_START = 0
# Time after the store came back from a copy in which its answers confirm no version, in
# seconds: the operator writes again what the copy lacks.
REWRITE_SECONDS = 1.0


class ConfigurationFollower:
    """Newest configuration that this process has seen; its version never decreases.

    A reader polls the store. A follower asks a reader at intervals whether its version
    is still the newest, takes newer ones from the readers, and polls the store itself
    when they do not answer.
    """

    def __init__(
        self, *, source: SiteSource, clock: Clock, revoke_seconds: float
    ) -> None:
        self._source = source
        self._clock = clock
        self._revoke_seconds = revoke_seconds
        self._revision = FROM_START
        # Revision of the last answer, the newest era that any call heard of, and when
        # the store first named it; -inf before it was restored.
        self._answered_revision = FROM_START
        self._newest_era = 0
        self._restored_at = float("-inf")
        source.on_newer_era.append(self._record_era)
        # Version of the newest configuration that the store has shown in this era, and
        # whether it has confirmed one since it was restored.
        self._shown_version: int | None = None
        self._is_era_confirmed = True
        self._failures = 0
        self._configuration: SiteConfiguration | None = None
        self._confirmation: Confirmation | None = None
        self.store_clock = StoreClock()
        # Read with the configuration, and passed on to peers with it.
        self.evacuations = KnownEvacuations(clock=clock)
        self._question_number = 0
        self._asked_at = float("-inf")
        self._unanswered = 0
        # Whether the answers of the readers confirm nothing recent.
        self._are_answers_old = False
        self._is_behind = asyncio.Event()
        self._is_store_back = asyncio.Event()
        # Since when, or since which question to a peer, a peer has a newer version.
        self._behind_since: float | None = None
        self._document_received = asyncio.Event()
        # Set once a version was confirmed, or the store did not answer.
        self._is_first_settled = asyncio.Event()
        self._document = b""
        self.on_new_version: list[Callable[[], None]] = []
        # Called when a restored store confirms a version for the first time.
        self.on_era_confirmed: list[Callable[[], None]] = []
        self.is_reader: Callable[[], bool] = lambda: True
        self.should_retry_often: Callable[[], bool] = lambda: True
        self.ask_readers: Callable[[int], None] = lambda number: None
        self.request_document: Callable[[], None] = lambda: None
        self.request_document_of: Callable[[str], None] = lambda node: None

    @property
    def configuration(self) -> SiteConfiguration | None:
        """Return the newest configuration, None before the first was read."""
        return self._configuration

    @property
    def document(self) -> bytes:
        """Return the configuration as stored, empty if not known."""
        return self._document

    @property
    def confirmation(self) -> Confirmation | None:
        """Return when the version in force was last confirmed; None if never."""
        return self._confirmation

    @property
    def confirmation_age(self) -> float | None:
        """Return the rounded seconds since the last confirmation, None if never."""
        if self._confirmation is None:
            return None
        return round(self._confirmation.age(self._clock.now()), 3)

    @property
    def is_era_confirmed(self) -> bool:
        """Return whether the store has confirmed a version since it was restored."""
        return self._is_era_confirmed

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the last call to the store was answered."""
        return self._failures == 0

    @property
    def is_confirmed(self) -> bool:
        """Return whether the last confirmation is recent enough to admit keys."""
        return may_admit(
            self._confirmation,
            now=self._clock.now(),
            bound_seconds=self._revoke_seconds,
        )

    @property
    def may_deny(self) -> bool:
        """Return whether what the version in force lacks may be refused for good."""
        is_behind = self._behind_since is not None
        now = self._clock.now()
        return (
            self.is_confirmed
            and not is_behind
            and may_deny(self._confirmation, now=now)
        )

    async def wait_for_first_version(self, seconds: float) -> None:
        """Wait until a first version is confirmed or the store fails to answer.

        Returns after `seconds` in any case.
        """
        if self._is_first_settled.is_set():
            return
        try:
            async with asyncio.timeout(seconds):
                await self._is_first_settled.wait()
        except TimeoutError:
            log.info(
                "configuration: timed out waiting for first version", seconds=seconds
            )

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._may_ask_readers():
                self._ask()
                await self._pause(QUESTION_INTERVAL_SECONDS, self._is_behind)
                continue
            if self._expects_document():
                self._document_received.clear()
                await self._pause(DOCUMENT_WAIT_SECONDS, self._document_received)
                if not self._is_behind.is_set():
                    continue
            if not await self.step():
                seconds = (
                    RETRY_SECONDS if self.should_retry_often() else SLOW_RETRY_SECONDS
                )
                await self._pause(seconds, self._is_store_back)

    def _may_ask_readers(self) -> bool:
        """Return whether to ask the readers instead of the store now."""
        if self._configuration is None or self._is_behind.is_set():
            return False
        if self._is_store_back.is_set():
            return False
        return not self.is_reader() and self._unanswered < MAX_UNANSWERED_QUESTIONS

    def _expects_document(self) -> bool:
        """Return whether the readers are about to send a newer version."""
        has_one = self._configuration is not None
        return has_one and self._is_behind.is_set() and not self.is_reader()

    def _ask(self) -> None:
        self._question_number += 1
        self._unanswered += 1
        if self._unanswered == MAX_UNANSWERED_QUESTIONS:
            log.warning("configuration: readers silent", questions=self._unanswered)
        self._asked_at = self._clock.now()
        self.ask_readers(self._question_number)

    async def _pause(self, seconds: float, event: asyncio.Event) -> None:
        """Sleep until the next question is due or the event is set."""
        await sleep_until_event(self._clock, seconds, event)

    def handle_store_reachable(self) -> None:
        """End the pause before a retry: the store answers another call or host."""
        if self._failures:
            self._is_store_back.set()

    def handle_version(self, version: int, node: str) -> None:
        """Start to fetch a version that a peer has, if it is newer.

        Readers have it from the store, and the others from them. A restored store may
        lack it, and a host that started since then never knew it: after a short time
        it is asked of the peer.
        """
        known, now = self._configuration, self._clock.now()
        if known is None or version <= known.version:
            return
        if not self.is_reader():
            self._is_behind.set()
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > DOCUMENT_WAIT_SECONDS:
            self._behind_since = now
            log.info("configuration: asked of a peer", version=version, peer=node)
            self.request_document_of(node)

    def handle_answer(self, number: int, version: int, age: float, node: str) -> None:
        """Apply a reader's answer to the version question `number`.

        The age counts from the time when the question was sent: this host may have
        been paused before it read the answer, which confirms nothing for that time.
        """
        if number != self._question_number:
            return
        if self._unanswered >= MAX_UNANSWERED_QUESTIONS:
            log.info("configuration: readers answer")
        self._unanswered = 0
        self.confirm(version, self._asked_at - age)
        self.handle_version(version, node)
        self._log_old_answers(node, age)

    def _log_old_answers(self, node: str, age: float) -> None:
        """Log when the answers of the readers begin and cease to be too old."""
        are_old = age > DENIAL_SECONDS
        if are_old == self._are_answers_old:
            return
        self._are_answers_old = are_old
        ages = {"age": round(age, 3), "own_age": self.confirmation_age}
        if are_old:
            log.warning("configuration: answers too old", reader=node, **ages)
        else:
            log.info("configuration: answers recent", reader=node, **ages)

    async def step(self) -> bool:
        """Poll the store once; return whether it answered and a version is known."""
        asked_at = self._clock.now()
        self._is_store_back.clear()
        if self._is_behind.is_set():
            # A follower's revision is usually older than the store's history.
            self._is_behind.clear()
            self._revision = FROM_START
        answer = await self._source.configuration(self._revision, self._poll_wait())
        if not isinstance(answer, Unavailable):
            self._is_store_back.clear()
        match answer:
            case Unavailable():
                self._record_failure(answer, self._clock.now() - asked_at)
                return False
            case HistoryLost():
                log.warning("configuration: history lost", revision=self._revision)
                self._revision = FROM_START
                return True
        if self._failures:
            log.info(
                "configuration: store regained",
                failures=self._failures,
                since=self._revision,
                revision=answer.revision,
            )
        self._failures = 0
        self._unanswered = 0
        self._record_era(era_of(answer.revision))
        if is_later_era(answer.revision, self._answered_revision):
            self._shown_version = None
            self._is_era_confirmed = False
            self.store_clock.reset()
            log.warning("configuration: store restored", revision=answer.revision)
        self._revision = self._answered_revision = answer.revision
        self.evacuations.apply_read(answer.evacuations, answer.revision)
        self._apply_answer(answer, self._answered_at(answer, asked_at))
        return answer.configuration is not None or self._configuration is not None

    def _record_era(self, era: int) -> None:
        """Start the rewrite time of a new era, which any call to the store may name."""
        if era <= self._newest_era:
            return
        self._newest_era = era
        if self._answered_revision != FROM_START:
            self._restored_at = self._clock.now()
            self.handle_store_reachable()

    def _poll_wait(self) -> float:
        """Return how long the store may hold the next poll, in seconds."""
        if self._failures:
            # After a failure, confirming the version comes before waiting for changes.
            return 0.0
        wait = min(LONG_POLL_SECONDS, LONG_POLL_SHARE * self._revoke_seconds)
        # The answer at the end of the rewrite time is the first that may confirm.
        rewrite_left = self._rewrite_left()
        return min(wait, rewrite_left) if rewrite_left > 0.0 else wait

    def _rewrite_left(self) -> float:
        """Return the seconds for which answers confirm nothing, if positive."""
        return self._restored_at + REWRITE_SECONDS - self._clock.now()

    def handle_document(self, version: int, document: bytes) -> None:
        """Adopt a newer configuration that a peer read from the store.

        It was accepted after the known version, so it had not been replaced either when
        that one was last confirmed, and takes over its confirmation time. If no version
        was known, a question to a reader confirms the new one.
        """
        configuration = self._source.parse_configuration(document)
        known = self._configuration
        if configuration is None or configuration.version != version:
            return
        if known is not None and version <= known.version:
            return
        self._is_behind.clear()
        self._document = document
        previous = self._confirmation
        self._install(
            configuration, previous.confirmed_at if previous else float("-inf")
        )
        self._document_received.set()
        if previous is None:
            self._ask()

    def confirm(self, version: int, confirmed_at: float) -> None:
        """Record that `version` was the newest at a time, if it is the one in force."""
        if self._configuration and self._configuration.version == version:
            self._confirmation = merge_confirmation(
                self._confirmation, version=version, confirmed_at=confirmed_at
            )
            self._check_confirmed()

    def _check_confirmed(self) -> None:
        if self.is_confirmed:
            self._is_first_settled.set()

    def _answered_at(self, answer: ConfigurationRead, asked_at: float) -> float:
        """Return the time when the answer left the store, or slightly earlier."""
        store_time = answer.answered_at
        self.store_clock.record(asked_at=asked_at, answered_at=store_time)
        return self.store_clock.answered_at(
            asked_at=asked_at, answered_at=store_time, received_at=self._clock.now()
        )

    def _record_failure(self, answer: Unavailable, seconds: float) -> None:
        self._failures += 1
        self._is_first_settled.set()
        self.store_clock.reset()
        if self._configuration is None:
            self.request_document()
        if self._failures == 1:
            log.warning(
                "configuration: store lost",
                reason=answer.reason,
                seconds=round(seconds, 3),
                connection_age=answer.connection_age
                and round(answer.connection_age, 3),
                confirmed_age=self.confirmation_age,
            )

    def _apply_answer(self, answer: ConfigurationRead, answered_at: float) -> None:
        """Apply a store's answer, without confirming a version that was replaced.

        A configuration that cannot be decoded may have revoked keys. As long as it is
        the newest, an answer without changes confirms that one, not the one in force.
        A restored store may show an older version than the one in force, and the same
        version although a later one was accepted that is not written again yet.
        """
        known = self._configuration
        is_rewriting = self._rewrite_left() > 0.0
        if is_rewriting:
            confirmation = self._confirmation
            answered_at = confirmation.confirmed_at if confirmation else answered_at
        if answer.configuration is not None:
            self._shown_version = answer.configuration.version
            if known is None or answer.configuration.version >= known.version:
                self._document = answer.document
            self._install(answer.configuration, answered_at)
        elif answer.unreadable:
            self._shown_version = None
            log.error(
                "configuration: unreadable",
                revision=answer.revision,
                in_force=known.version if known else None,
            )
        elif self._shown_version is not None:
            self.confirm(self._shown_version, answered_at)
        if not is_rewriting:
            self._record_era_confirmed()

    def _record_era_confirmed(self) -> None:
        """Notify listeners if the store shows the version in force again."""
        known = self._configuration
        if self._is_era_confirmed or known is None:
            return
        if self._shown_version == known.version:
            self._is_era_confirmed = True
            for notify in self.on_era_confirmed:
                notify()

    def _install(self, configuration: SiteConfiguration, confirmed_at: float) -> None:
        known = self._configuration
        if known is not None and configuration.version < known.version:
            log.warning(
                "configuration: older version ignored",
                version=configuration.version,
                known=known.version,
            )
            return
        if known is None or configuration.version > known.version:
            log.info(
                "configuration: in force",
                version=configuration.version,
                revision=self._revision,
                previous_age=self.confirmation_age,
                known_for=self._behind_since
                and round(self._clock.now() - self._behind_since, 3),
            )
            self._configuration = configuration
            self._behind_since = None
        self._confirmation = merge_confirmation(
            self._confirmation,
            version=configuration.version,
            confirmed_at=confirmed_at,
        )
        self._check_confirmed()
        if known is None or configuration.version > known.version:
            for notify in self.on_new_version:
                notify()
