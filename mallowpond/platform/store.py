"""Client for the platform's table service, called the store."""

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import quote

import structlog

from mallowpond.coordination.clock import BootClock
from mallowpond.coordination.ports import (
    CommitOutcome,
    Committed,
    Conflict,
    Row,
    Scanned,
    Transaction,
    Unavailable,
    Unknown,
    UnreadableRow,
)
from mallowpond.node.ports import ConfigurationRead, HistoryLost, TargetsRead
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.platform import documents
from mallowpond.platform.call_counts import CallCounts
from mallowpond.platform.configuration_decoder import ConfigurationDecoder
from mallowpond.platform.rows import (
    StoreAnswer,
    StoredRow,
    decode_answer,
    decode_committed_version,
    decode_conflicting_keys,
)
from mallowpond.platform.store_eras import StoreEras
from mallowpond.state.decoding import DecodeFault, Unreadable, parse_json
from mallowpond.state.evacuations import EvacuationChanges
from mallowpond.state.fleet import Target
from mallowpond.state.revision import era_of, make_revision, version_of
from mallowpond.state.site_configuration import SiteConfiguration
from mallowpond.transport.http_client import BufferedResponse, CallFailed, HttpClient

log = structlog.get_logger()

# Timeout of a call beyond the time that it asks the store to wait, in seconds. The
# store may be some tens of times slower than its usual 4 ms.
CALL_TIMEOUT_SECONDS = 1.0
# Rows per page when a whole table is read; answers with changes have no pages.
PAGE_ROWS = 500
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
# Each data centre that is evacuated has a row in that table: this prefix and its name.
EVACUATION_PREFIX = "evacuate/"
TARGETS_TABLE = "servers"

JSON_HEADERS = (("content-type", "application/json"),)


@dataclass(frozen=True, kw_only=True)
class CallPath:
    """How a call reaches the store, and how long it waits for a prompt answer."""

    timeout_seconds: float = CALL_TIMEOUT_SECONDS
    new_connection: bool = False


class PlatformStore:
    """Reads and changes rows of the store; keys have the form TABLE/KEY.

    The node reads the configuration and the list of targets from it, which others
    write, and stores the rows of this system in it.
    """

    def __init__(
        self,
        *,
        http: HttpClient,
        address: str,
        unreadable_log: UnreadableLog | None = None,
        counts: CallCounts | None = None,
    ) -> None:
        self._http = http
        self._counts = counts or CallCounts(clock=BootClock())
        self._address = address
        self._unreadable_log = unreadable_log or UnreadableLog()
        self._configurations = ConfigurationDecoder()
        self._eras = StoreEras()
        self._newest_revision = 0

    @property
    def on_newer_era(self) -> list[Callable[[int], None]]:
        """Return the listeners that are called with each newer era of the store."""
        return self._eras.on_newer

    # -- the configuration and the list of targets --------------------------

    async def configuration(
        self,
        since: int,
        wait_seconds: float,
        *,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        new_connection: bool = False,
    ) -> ConfigurationRead | HistoryLost | Unavailable:
        """Wait up to `wait_seconds` for a configuration after revision `since`.

        With `since` 0 return the newest one at once. The call fails if no answer has
        arrived `timeout_seconds` after the wait; `new_connection` uses no idle one.
        """
        path = CallPath(timeout_seconds=timeout_seconds, new_connection=new_connection)
        if since == 0:
            answer = await self._read_table(CONFIGURATION_TABLE, path)
        else:
            answer = await self._read_changes(
                CONFIGURATION_TABLE, since, wait_seconds, path
            )
        if isinstance(answer, HistoryLost | Unavailable):
            return answer
        if answer.keyless_faults:
            # This row may be the newest configuration. The next read begins after it,
            # so it must not be skipped.
            self._unreadable_log.record("configuration", "", answer.keyless_faults[0])
            return Unavailable(reason=f"row without a key: {answer.keyless_faults[0]}")
        evacuations = self._evacuations(answer, is_whole=since == 0)
        read = ConfigurationRead(
            revision=answer.revision, configuration=None, changed=False
        )
        for row in answer.latest_rows:
            if row.key == CONFIGURATION_KEY and not row.removed:
                read = self._configuration_read(answer.revision, row)
        return replace(read, answered_at=answer.answered_at, evacuations=evacuations)

    def _evacuations(self, answer: StoreAnswer, *, is_whole: bool) -> EvacuationChanges:
        """Return the evacuations among the rows of an answer.

        A row whose value cannot be read evacuates as well: its key says which data
        centre.
        """
        begun, ended = [], []
        for row in answer.latest_rows:
            if not row.key.startswith(EVACUATION_PREFIX):
                continue
            name = row.key.removeprefix(EVACUATION_PREFIX)
            if not name.strip():
                fault = Unreadable(fault=DecodeFault.MISSING, field="key")
                self._unreadable_log.record("evacuation", row.key, fault)
                continue
            if not row.removed and isinstance(row.document, Unreadable):
                self._unreadable_log.record("evacuation", row.key, row.document)
            (ended if row.removed else begun).append(name)
        return EvacuationChanges(
            begun=tuple(begun), ended=tuple(ended), is_whole=is_whole
        )

    def _configuration_read(self, revision: int, row: StoredRow) -> ConfigurationRead:
        found = row.document
        if not isinstance(found, Unreadable):
            found = self._configurations.decode(found)
        if isinstance(found, Unreadable):
            self._unreadable_log.record("configuration", row.key, found)
            return ConfigurationRead(
                revision=revision, configuration=None, changed=True, unreadable=True
            )
        return ConfigurationRead(
            revision=revision, configuration=found, changed=True, document=row.value
        )

    def parse_configuration(self, document: bytes) -> SiteConfiguration | None:
        """Decode a configuration as it is stored, None if that fails."""
        found = parse_json(document)
        if not isinstance(found, Unreadable):
            found = self._configurations.decode(found)
        if isinstance(found, Unreadable):
            self._unreadable_log.record("configuration", "", found)
            return None
        return found

    async def targets(self, since: int) -> TargetsRead | HistoryLost | Unavailable:
        """Return what changed after revision `since`, or all targets if it is 0."""
        if since == 0:
            answer = await self._read_table(TARGETS_TABLE)
        else:
            answer = await self._read_changes(TARGETS_TABLE, since, 0.0)
        if isinstance(answer, HistoryLost | Unavailable):
            return answer
        for reason in answer.keyless_faults:
            self._unreadable_log.record("target", "", reason)
        found = {
            row.key: self._decode_target(row)
            for row in answer.latest_rows
            if not row.removed
        }
        bad = [key for key, target in found.items() if not isinstance(target, Target)]
        removed = [row.key for row in answer.latest_rows if row.removed]
        # A row with a key that is no engine id was never a target: it is neither
        # removed nor unreadable.
        return TargetsRead(
            revision=answer.revision,
            targets=tuple(t for t in found.values() if isinstance(t, Target)),
            removed=tuple(filter(documents.is_identifier, removed)),
            unreadable=tuple(filter(documents.is_identifier, bad)),
            whole=since == 0,
        )

    def _decode_target(self, row: StoredRow) -> Target | Unreadable:
        found = row.document
        if not isinstance(found, Unreadable):
            found = documents.decode_target(row.key, found)
        if isinstance(found, Unreadable):
            self._unreadable_log.record("target", row.key, found)
        return found

    # -- rows that this system writes ----------------------------------------

    async def read(self, key: str) -> Row | UnreadableRow | None | Unavailable:
        """Return the row, None if it is absent."""
        table, _, name = key.partition("/")
        self._counts.count(table, "read")
        query = f"table={quote(table)}&part=&from={quote(name)}&limit=1"
        answer = await self._get(f"/-/rows-get?{query}")
        if isinstance(answer, HistoryLost | Unavailable):
            return _as_unavailable(answer)
        if answer.keyless_faults:
            # This may be the requested row. If it counted as absent, the caller would
            # replace it.
            return Unavailable(reason=f"row without a key: {answer.keyless_faults[0]}")
        rows = [row for row in answer.rows if row.key == name]
        if not rows:
            return None
        found = self._decode_own_row(table, rows[0], answer.era)
        if version_of(found.version) == 0:
            # A transaction that replaces it could not name its version.
            return Unavailable(reason="row without a version")
        return found

    async def scan(self, prefix: str, since: int = 0) -> Scanned | Unavailable:
        """Return the changes to a table after version `since`, all rows if it is 0."""
        table = prefix.partition("/")[0]
        answer = await (
            self._read_changes(table, since, 0.0) if since else self._read_table(table)
        )
        if isinstance(answer, HistoryLost | Unavailable):
            return _as_unavailable(answer)
        for reason in answer.keyless_faults:
            self._unreadable_log.record(table, "", reason)
        rows = [
            self._decode_own_row(table, r, answer.era)
            for r in answer.latest_rows
            if not r.removed
        ]
        return Scanned(
            rows=tuple(row for row in rows if isinstance(row, Row)),
            deleted=tuple(f"{table}/{r.key}" for r in answer.latest_rows if r.removed),
            version=answer.revision,
            unreadable=tuple(row for row in rows if isinstance(row, UnreadableRow)),
        )

    def _decode_own_row(
        self, table: str, row: StoredRow, era: int
    ) -> Row | UnreadableRow:
        """Decode a row; its version is a revision."""
        revision = make_revision(era, row.version)
        key = f"{table}/{row.key}"
        found = row.document
        if not isinstance(found, Unreadable):
            found = documents.decode_own_row(found)
        if row.version == 0 and not isinstance(found, Unreadable):
            found = Unreadable(fault=DecodeFault.MISSING, field="ver")
        if isinstance(found, Unreadable):
            self._unreadable_log.record(table, row.key, found)
            return UnreadableRow(key=key, version=revision, reason=str(found))
        return Row(
            key=key,
            value=found.value,
            version=revision,
            transaction=found.transaction,
        )

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction and return what is known of its effect.

        Versions in its checks and in the outcome are revisions.
        """
        known = self._eras.newest
        outdated = _checks_of_other_eras(transaction, known)
        if outdated:
            return Conflict(keys=outdated)
        self._counts.count(_table_of(transaction), "write")
        body = {
            "expected": [
                {**_row_address(c.key), "ver": version_of(c.version)}
                for c in transaction.checks
            ],
            "writes": [
                {
                    **_row_address(p.key),
                    "value": _encode_value(p.value, transaction.transaction),
                }
                for p in transaction.puts
            ],
            "delete": [_row_address(key) for key in transaction.deletes],
        }
        answer = await self._http.fetch_response(
            self._address,
            "POST",
            "/-/rows-tx",
            headers=JSON_HEADERS,
            body=json.dumps(body).encode(),
            timeout=CALL_TIMEOUT_SECONDS,
        )
        if isinstance(answer, CallFailed):
            if answer.may_have_sent:
                return Unknown(reason=answer.reason)
            return Unavailable(reason=answer.reason)
        era = self._eras.record(answer.headers, known)
        match answer:
            case BufferedResponse(status=200, body=data):
                if era is None or _checks_of_other_eras(transaction, era):
                    # It may be lost, or its checks may have passed by chance.
                    return Unknown(reason="the store was restored meanwhile")
                return _commit_result(decode_committed_version(data), era)
            case BufferedResponse(status=412, body=data):
                return Conflict(keys=decode_conflicting_keys(data))
            case BufferedResponse(status=status):
                # With any other status the store has changed nothing.
                return Unavailable(reason=f"status {status}")

    # -- calls ---------------------------------------------------------------

    async def _read_table(
        self, table: str, path: CallPath = CallPath()
    ) -> StoreAnswer | HistoryLost | Unavailable:
        """Read a whole table page by page; later pages may be newer than the first.

        A page of a later era begins the read again.
        """
        pages: list[StoreAnswer] = []
        start = ""
        while True:
            self._counts.count(table, "whole")
            query = f"table={quote(table)}&part=&from={quote(start)}&limit={PAGE_ROWS}"
            answer = await self._get(f"/-/rows-get?{query}", path=path)
            if isinstance(answer, HistoryLost | Unavailable):
                return answer
            if pages and answer.era != pages[0].era:
                pages, start = [], ""
                continue
            pages.append(answer)
            if not answer.has_more:
                return _join_pages(pages)
            following = answer.rows[-1].key + "\0" if answer.rows else ""
            if following <= start:
                # The next request would start at the same row: the loop would not end.
                return Unavailable(
                    reason="page announces more rows but does not advance"
                )
            start = following

    async def _read_changes(
        self,
        table: str,
        since: int,
        wait_seconds: float,
        path: CallPath = CallPath(),
    ) -> StoreAnswer | HistoryLost | Unavailable:
        """Read the changes after a revision, which must be of the present era."""
        if era_of(since) < self._eras.newest:
            return HistoryLost()
        self._counts.count(table, "changes")
        wait = int(wait_seconds * 1000)
        version = version_of(since)
        query = f"table={quote(table)}&since_rev={version}&wait_ms={wait}"
        answer = await self._get(f"/-/rows-feed?{query}", wait_seconds, path)
        if isinstance(answer, StoreAnswer) and answer.era != era_of(since):
            return HistoryLost()
        return answer

    async def _get(
        self,
        target: str,
        wait_seconds: float = 0.0,
        path: CallPath = CallPath(),
    ) -> StoreAnswer | HistoryLost | Unavailable:
        known, newest = self._eras.newest, self._newest_revision
        ages: list[float] = []
        response = await self._http.fetch_response(
            self._address,
            "GET",
            target,
            timeout=wait_seconds + path.timeout_seconds,
            new_connection=path.new_connection,
            on_connection_age=ages.append,
        )
        if isinstance(response, CallFailed):
            return Unavailable(
                reason=response.reason,
                is_silent=response.is_silent,
                connection_age=ages[-1] if ages else None,
            )
        era = self._eras.record(response.headers, known)
        if era is None:
            return Unavailable(reason="answer of an earlier era")
        match response:
            case BufferedResponse(status=200, body=data):
                answer = self._reject_unreadable(decode_answer(data))
                if isinstance(answer, StoreAnswer):
                    answer = replace(answer, era=era)
                    self._record_revision(answer.revision, newest, target)
                return answer
            case BufferedResponse(status=410):
                return HistoryLost()
            case BufferedResponse(status=status):
                return Unavailable(reason=f"status {status}")

    def _record_revision(self, revision: int, newest: int, target: str) -> None:
        """Log an answer of a lower version than one known before it was asked for."""
        if revision < newest:
            log.warning(
                "store: version went back",
                version=version_of(revision),
                known=version_of(newest),
                era=era_of(revision),
                query=target,
            )
            self._newest_revision = revision
        self._newest_revision = max(self._newest_revision, revision)

    def _reject_unreadable(
        self, answer: StoreAnswer | Unreadable
    ) -> StoreAnswer | Unavailable:
        if not isinstance(answer, Unreadable):
            return answer
        self._unreadable_log.record("store", "", answer)
        return Unavailable(reason=str(answer))


def _table_of(transaction: Transaction) -> str:
    keys = [put.key for put in transaction.puts] + list(transaction.deletes)
    return keys[0].partition("/")[0] if keys else "none"


def _join_pages(pages: list[StoreAnswer]) -> StoreAnswer:
    """Return the pages of a table as one answer with the version of the first page.

    The next read of changes returns those made after the first page again.
    """
    return StoreAnswer(
        version=pages[0].version,
        era=pages[0].era,
        # Only reads of whole tables are fast enough to estimate the offset of the
        # store's clock. Without their time, an answer to a read that waited would seem
        # as old as the wait.
        answered_at=pages[0].answered_at,
        rows=tuple(row for page in pages for row in page.rows),
        keyless_faults=tuple(fault for page in pages for fault in page.keyless_faults),
    )


def _checks_of_other_eras(transaction: Transaction, era: int) -> tuple[str, ...]:
    """Return the keys whose checks name a version of another era than this one."""
    return tuple(
        c.key for c in transaction.checks if c.version and era_of(c.version) != era
    )


def _commit_result(version: int | Unreadable, era: int) -> Committed | Unknown:
    if isinstance(version, Unreadable):
        # It took effect, but later transactions need its version, which is unknown.
        return Unknown(reason=str(version))
    return Committed(version=make_revision(era, version))


def _as_unavailable(answer: HistoryLost | Unavailable) -> Unavailable:
    if isinstance(answer, Unavailable):
        return answer
    return Unavailable(reason="the store no longer has the requested changes")


def _row_address(key: str) -> dict[str, str]:
    table, _, name = key.partition("/")
    return {"table": table, "part": "", "key": name}


def _encode_value(value: dict[str, Any], transaction: str) -> str:
    text = json.dumps({"value": value, "transaction": transaction})
    return base64.b64encode(text.encode()).decode()
