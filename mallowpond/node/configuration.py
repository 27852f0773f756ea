"""Follow the configuration, and track how old its last confirmation is."""

import asyncio
from collections.abc import Callable
from enum import Enum
from math import isinf

import structlog

from mallowpond.coordination.ports import Clock, Unavailable
from mallowpond.coordination.tasks import cancel_task, sleep_until_event
from mallowpond.node.evacuations import KnownEvacuations
from mallowpond.node.ports import ConfigurationRead, HistoryLost, SiteSource
from mallowpond.node.settings import NodeBounds
from mallowpond.state.configuration_reading import (
    MAX_ATTEMPT_SECONDS,
    PeerClocks,
    ReadingPace,
)
from mallowpond.state.confirmation import (
    STORE,
    Confirmation,
    may_admit,
    may_deny,
    may_run,
    merge_confirmation,
)
from mallowpond.state.evacuations import EvacuationChanges
from mallowpond.state.revision import era_of, is_later_era
from mallowpond.state.site_configuration import SiteConfiguration
from mallowpond.state.store_clock import StoreClock

log = structlog.get_logger()

# Pause after a failed call to the store, in seconds: a store that is down gets few
# calls, and a node recovers well within the bound for a change.
RETRY_SECONDS = 0.2
# The same for a host that need not retry often, in seconds. If no host reaches the
# store, frequent retries of a whole fleet only add load, and the first host that gets
# an answer informs the others.
SLOW_RETRY_SECONDS = 1.5
# Interval between questions of a host that has a version which nobody has confirmed, in
# seconds.
FIRST_QUESTION_SECONDS = 0.1
# Shortest pause between two checks whether the knowledge is too old, in seconds.
MIN_CHECK_SECONDS = 0.02
# Time for which a host that learns of a newer version waits for the readers to send it,
# in seconds: long enough for a few datagrams, and a small part of the bound for a
# change. Without it, each host would read each version from the store.
DOCUMENT_WAIT_SECONDS = 0.3
# Revision that reads the newest configuration at once.
FROM_START = 0
# Time after the store came back from a copy in which its answers confirm no version, in
# seconds: the operator writes again what the copy lacks.
REWRITE_SECONDS = 1.0


class Doubt(str, Enum):
    """Why a host leaves a source of the configuration for another one.

    `POLL` tells nothing, `CONNECTION` has no answer, `READERS` have old knowledge.
    """

    POLL = "poll"
    CONNECTION = "connection"
    READERS = "readers"


class ConfigurationFollower:
    """Newest configuration that this process has seen; its version never decreases.

    A reader polls the store. A follower takes confirmations and newer versions from the
    readers, by their digests and by their answers to its questions, and reads the store
    itself as soon as what it knows grows old, whatever the readers still answer.
    """

    def __init__(self, *, source: SiteSource, clock: Clock, bounds: NodeBounds) -> None:
        self._source = source
        self._clock = clock
        self._bounds = bounds
        self._pace = ReadingPace.for_bounds(apply=bounds.apply, revoke=bounds.revoke)
        self._started_at = clock.now()
        # When this host last read the store itself, and how long the store took beyond
        # the wait; a path that has not answered for the time of a poll is in doubt.
        self._read_at = float("-inf")
        self._answer_seconds = 0.0
        # Attempts without an answer since the last one that had one.
        self._silent_attempts = 0
        # Newest version for which a poll was given up, as a peer had it.
        self._version_polled_again = 0
        self._peer_clocks = PeerClocks()
        # When each other reader last read the store, by this host's clock.
        self._peer_reads: dict[str, float] = {}
        self._is_outdated = False
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
        self._is_behind = asyncio.Event()
        # Set when a host that waits for its next check has something to do.
        self._wake = asyncio.Event()
        self._is_current = asyncio.Event()
        self._newer_version = 0
        self._read_confirmed_at = float("-inf")
        self._is_store_back = asyncio.Event()
        # Since when, or since which question to a peer, a peer has a newer version.
        self._behind_since: float | None = None
        self._document_received = asyncio.Event()
        # Set once a version was confirmed, or the store did not answer.
        self._is_first_settled = asyncio.Event()
        self._document = b""
        self.on_new_version: list[Callable[[], None]] = []
        # Called when this host has read the store.
        self.on_read: list[Callable[[], None]] = []
        # Called when a source of the configuration is left: which doubt it was.
        self.on_doubt: list[Callable[[Doubt], None]] = []
        # Called when a restored store confirms a version for the first time.
        self.on_era_confirmed: list[Callable[[], None]] = []
        self.is_reader: Callable[[], bool] = lambda: True
        self.is_standby: Callable[[], bool] = lambda: False
        # Number of hosts, and this host's place in their order, from 0 to 1.
        self.host_count: Callable[[], int] = lambda: 1
        self.host_share = 0.0
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
        if self._confirmation is None or isinf(self._confirmation.confirmed_at):
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
            bound_seconds=self._bounds.revoke,
        )

    @property
    def may_run(self) -> bool:
        """Return whether requests may be run as the version in force says."""
        return may_run(
            self._confirmation,
            now=self._clock.now(),
            bound_seconds=self._bounds.apply,
            is_store_lost=not self.is_store_reachable,
        )

    @property
    def may_deny(self) -> bool:
        """Return whether what the version in force lacks may be refused for good."""
        is_behind = self._behind_since is not None
        return (
            self.is_confirmed
            and not is_behind
            and may_deny(
                self._confirmation,
                now=self._clock.now(),
                bound_seconds=self._bounds.apply,
            )
        )

    @property
    def own_read_at(self) -> float:
        """Return when this host last confirmed the version in force by its own read.

        In seconds since this object was made, so that peers can compare it with the
        time in `answered_at`; 0 if it has not.
        """
        if self._shown_version is None or self._configuration is None:
            return 0.0
        if self._shown_version != self._configuration.version:
            return 0.0
        return max(0.0, self._read_confirmed_at - self._started_at)

    @property
    def process_time(self) -> float:
        """Return the seconds since this object was made."""
        return self._clock.now() - self._started_at

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

    async def wait_until_current(self, seconds: float) -> None:
        """Wait until requests may be run by the version in force, if they may not.

        A host that stood still learns within milliseconds whether its version is still
        the newest. Returns after `seconds` in any case.
        """
        is_known = self.may_run and (self.is_confirmed or not self.is_store_reachable)
        if is_known or not self._is_knowledge_old():
            # After a read that confirmed nothing, waiting would not help.
            return
        self._is_current.clear()
        self._wake.set()
        try:
            async with asyncio.timeout(seconds):
                await self._is_current.wait()
        except TimeoutError:
            log.info(
                "configuration: timed out waiting for a confirmation",
                seconds=seconds,
                age=self.confirmation_age,
            )

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            self._wake.clear()
            if self._may_ask_readers():
                self._ask_if_due()
                await self._pause(self._seconds_until_check(), self._wake)
                continue
            if self._expects_document():
                self._document_received.clear()
                await self._pause(
                    min(DOCUMENT_WAIT_SECONDS, self._bounds.rollback_slack),
                    self._document_received,
                )
                if not self._is_behind.is_set():
                    continue
            if not await self._read():
                if self._silent_attempts and not self._failures:
                    # The connection may be silent: a new one is tried at once.
                    continue
                seconds = (
                    RETRY_SECONDS if self.should_retry_often() else SLOW_RETRY_SECONDS
                )
                await self._pause(seconds, self._is_store_back)

    async def _read(self) -> bool:
        """Poll the store once, and give a poll up that is in doubt."""
        if self._poll_wait() <= 0.0:
            return await self.step()
        poll = asyncio.ensure_future(self.step())
        try:
            while not poll.done():
                sleep = asyncio.ensure_future(
                    self._clock.sleep(self._seconds_until_check())
                )
                await asyncio.wait({poll, sleep}, return_when=asyncio.FIRST_COMPLETED)
                await cancel_task(sleep)
                if poll.done():
                    break
                self._ask_if_due()
                if self._is_poll_doubtful():
                    self._notify_doubt(Doubt.POLL)
                    self._read_at = float("-inf")
                    return True
            return poll.result()
        finally:
            await cancel_task(poll)

    def _notify_doubt(self, doubt: Doubt) -> None:
        for notify in self.on_doubt:
            notify(doubt)

    def _is_poll_doubtful(self) -> bool:
        """Return whether a poll in progress should have told something by now.

        Its connection may be silent if nobody has confirmed the version for long, or if
        a peer has a newer one.
        """
        known, now = self._configuration, self._clock.now()
        newer, since = self._newer_version, self._behind_since
        if known is not None and newer > max(known.version, self._version_polled_again):
            if since is not None and now - since >= self._bounds.rollback_slack:
                self._version_polled_again = newer
                log.warning(
                    "configuration: poll given up", newer=newer, version=known.version
                )
                return True
        if not self._is_knowledge_old():
            return False
        log.warning("configuration: poll given up", confirmed_age=self.confirmation_age)
        return True

    def _is_knowledge_old(self) -> bool:
        """Return whether the last word of the store is too old to rely on."""
        return self._seconds_until_old() <= 0.0

    def _seconds_until_old(self) -> float:
        """Return the time until this host looks for another path to the store."""
        # An own read counts even if it confirms nothing, as while the store is written
        # again, or the newest configuration is unreadable: reading at once again would
        # tell the same.
        heard_at = self._read_at
        if self._confirmation is not None:
            heard_at = max(heard_at, self._confirmation.confirmed_at)
        limit = self._pace.old_after(
            is_reader=self.is_reader(),
            is_standby=self.is_standby(),
            host_count=self.host_count(),
            share=self.host_share,
        )
        return limit - (self._clock.now() - heard_at)

    def _seconds_until_check(self) -> float:
        """Return the time until a question is due or the knowledge is old."""
        now = self._clock.now()
        due = min(self._asked_at + self._pace.question - now, self._seconds_until_old())
        return max(MIN_CHECK_SECONDS, due)

    def _may_ask_readers(self) -> bool:
        """Return whether to rely on the readers instead of reading the store now."""
        if self._configuration is None or self._is_behind.is_set():
            return False
        if self._is_store_back.is_set() or self.is_reader():
            return False
        is_old = self._is_knowledge_old()
        if is_old != self._is_outdated:
            self._is_outdated = is_old
            self._log_outdated()
        return not is_old

    def _log_outdated(self) -> None:
        known = self._confirmation
        fields = {
            "age": self.confirmation_age,
            "source": known.source if known else None,
        }
        if self._is_outdated:
            self._notify_doubt(Doubt.READERS)
            log.warning("configuration: readers outdated", **fields)
        else:
            log.info("configuration: readers recent", **fields)

    def _expects_document(self) -> bool:
        """Return whether the readers are about to send a newer version."""
        has_one = self._configuration is not None
        return has_one and self._is_behind.is_set() and not self.is_reader()

    def ask_for_first_confirmation(self) -> None:
        """Ask a reader that was just heard of, if no version was confirmed yet."""
        is_waiting = self._configuration is not None and not self.is_confirmed
        if is_waiting and self._clock.now() - self._asked_at >= FIRST_QUESTION_SECONDS:
            self._ask()

    def _ask_if_due(self) -> None:
        if (
            self._clock.now() - self._asked_at
            >= self._pace.question - MIN_CHECK_SECONDS
        ):
            self._ask()

    def _ask(self) -> None:
        self._question_number += 1
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
            self._wake.set()
        self._newer_version = max(self._newer_version, version)
        if self._behind_since is None:
            self._behind_since = now
            if self._is_knowledge_old():
                # The readers, from which it would come, are outdated themselves.
                self.request_document_of(node)
        elif now - self._behind_since > min(
            DOCUMENT_WAIT_SECONDS, self._bounds.rollback_slack
        ):
            self._behind_since = now
            log.info("configuration: asked of a peer", version=version, peer=node)
            self.request_document_of(node)

    def handle_answer(
        self,
        number: int,
        version: int,
        age: float,
        node: str,
        answered_at: float = 0.0,
    ) -> None:
        """Apply a reader's answer to the version question `number`.

        The age counts from the time when the question was sent: this host may have
        been paused before it read the answer, which confirms nothing for that time.
        """
        if number != self._question_number:
            return
        if answered_at:
            self._peer_clocks.record(
                node, asked_at=self._asked_at, answered_at=answered_at
            )
        self.confirm(version, self._asked_at - age, source=node)
        self.handle_version(version, node)

    def handle_peer_read(self, version: int, read_at: float, node: str) -> None:
        """Apply when a reader last confirmed a version, by the clock of its process.

        Nothing follows from it before the reader has answered a question of this host.
        """
        now = self._clock.now()
        at = self._peer_clocks.convert(node, read_at, now=now) if read_at else None
        if at is None:
            return
        self._peer_reads[node] = max(at, self._peer_reads.get(node, float("-inf")))
        self.confirm(version, at, source=node)

    async def step(self) -> bool:
        """Poll the store once; return whether it answered and a version is known."""
        asked_at = self._clock.now()
        self._is_store_back.clear()
        wait = self._poll_wait()
        if self._is_behind.is_set():
            # A follower's revision is usually older than the store's history.
            self._is_behind.clear()
            self._revision = FROM_START
        answer = await self._source.configuration(
            self._revision,
            wait,
            timeout_seconds=self._attempt_timeout(),
            new_connection=self._is_path_doubtful,
        )
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
        self._read_at = now = self._clock.now()
        # An answer without rows came only once the wait was over.
        is_empty = not (answer.changed or answer.evacuations != EvacuationChanges())
        self._answer_seconds = max(0.0, now - asked_at - (wait if is_empty else 0.0))
        self._silent_attempts = 0
        if self._failures:
            log.info(
                "configuration: store regained",
                failures=self._failures,
                since=self._revision,
                revision=answer.revision,
            )
        self._failures = 0
        self._record_era(era_of(answer.revision))
        if is_later_era(answer.revision, self._answered_revision):
            self._shown_version = None
            self._is_era_confirmed = False
            self.store_clock.reset()
            log.warning("configuration: store restored", revision=answer.revision)
        self._revision = self._answered_revision = answer.revision
        self.evacuations.apply_read(answer.evacuations, answer.revision)
        self._apply_answer(answer, self._answered_at(answer, asked_at))
        for notify in self.on_read:
            notify()
        return answer.configuration is not None or self._configuration is not None

    def _attempt_timeout(self) -> float:
        """Return the time for an answer beyond the wait at the store, in seconds."""
        if self._confirmation is None:
            # When many hosts start at once, the first read takes long.
            return MAX_ATTEMPT_SECONDS
        return self._pace.attempt_timeout(
            attempts=self._silent_attempts, last_seconds=self._answer_seconds
        )

    def _record_era(self, era: int) -> None:
        """Start the rewrite time of a new era, which any call to the store may name.

        A host that starts does not know when its first era began, unless the store was
        never restored: a peer that has confirmed the version tells it at once.
        """
        if era <= self._newest_era:
            return
        self._newest_era = era
        self._restored_at = self._clock.now()
        if self._answered_revision != FROM_START:
            self.handle_store_reachable()

    def _poll_wait(self) -> float:
        """Return how long the store may hold the next poll, in seconds."""
        if self._is_path_doubtful or not self.is_reader():
            # Confirming the version comes before waiting for changes.
            return 0.0
        # The answer at the end of the rewrite time is the first that may confirm.
        rewrite_left = self._rewrite_left()
        if rewrite_left > 0.0:
            return min(self._pace.poll, rewrite_left)
        return self._pace.poll_wait(
            now=self._clock.now(),
            other_read_at=max(self._peer_reads.values(), default=None),
            is_standby=self.is_standby(),
        )

    @property
    def _is_path_doubtful(self) -> bool:
        """Return whether the connections to the store have not proved sound lately."""
        if self._failures or self._silent_attempts:
            return True
        return self._clock.now() - self._read_at > self._pace.poll

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

    def confirm(
        self, version: int, confirmed_at: float, *, source: str = STORE
    ) -> None:
        """Record that `version` was the newest at a time, if it is the one in force."""
        if self._configuration and self._configuration.version == version:
            self._confirmation = merge_confirmation(
                self._confirmation,
                version=version,
                confirmed_at=confirmed_at,
                era=self._newest_era,
                source=source,
            )
            self._check_confirmed()

    def _check_confirmed(self) -> None:
        if self.is_confirmed:
            self._is_first_settled.set()
            if self.may_run:
                self._is_current.set()

    def _answered_at(self, answer: ConfigurationRead, asked_at: float) -> float:
        """Return the time when the answer left the store, or slightly earlier."""
        store_time = answer.answered_at
        self.store_clock.record(asked_at=asked_at, answered_at=store_time)
        return self.store_clock.answered_at(
            asked_at=asked_at, answered_at=store_time, received_at=self._clock.now()
        )

    def _record_failure(self, answer: Unavailable, seconds: float) -> None:
        is_first = not (self._silent_attempts or self._failures)
        self._silent_attempts += 1
        self._read_at = float("-inf")
        if is_first and answer.is_silent and self._confirmation is not None:
            # One silent connection does not show that the store is lost.
            self._notify_doubt(Doubt.CONNECTION)
            log.warning(
                "configuration: connection silent",
                seconds=round(seconds, 3),
                connection_age=answer.connection_age
                and round(answer.connection_age, 3),
                confirmed_age=self.confirmation_age,
            )
            return
        self._failures += 1
        self._is_current.set()
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
            answered_at = confirmation.confirmed_at if confirmation else float("-inf")
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
        self._read_confirmed_at = answered_at
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
            era=self._newest_era,
        )
        self._check_confirmed()
        if known is None or configuration.version > known.version:
            for notify in self.on_new_version:
                notify()
