"""Change the configuration on all controllers or on none, and never go back.

A change is proposed, prepared by a majority of every cell's members, and accepted in
one transaction that advances the head, the row that names the version in force. See
``docs/design/configuration.md``.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mallowpond.coordination.keys import CELLS, HEAD, PROPOSAL, SHARED, VERSIONS
from mallowpond.coordination.membership import Membership
from mallowpond.coordination.ports import (
    Check,
    Clock,
    Committed,
    Conflict,
    Put,
    TableService,
    Transaction,
    Unavailable,
)
from mallowpond.coordination.store import (
    TableView,
    TypedPut,
    commit_and_resolve,
    transaction,
)
from mallowpond.state.assurance import (
    Assured,
    CellView,
    HeadRead,
    NotAssured,
    PeerAnswer,
    assess_assurance,
)
from mallowpond.state.codec import to_plain
from mallowpond.state.declarations import Declaration
from mallowpond.state.proposal import Abort, Accept, decide_proposal
from mallowpond.state.rows import CellRow, HeadRow, ProposalRow, VersionRow

# Accepted versions that are kept in the table.
KEPT_VERSIONS = 50


@dataclass(frozen=True, kw_only=True)
class AppliedConfiguration:
    """The configuration version that this controller uses; version 0 is empty.

    It may be behind the version in force, which the stored `HeadRow` names.
    """

    version: int
    text: str
    declaration: Declaration


@dataclass(frozen=True, kw_only=True)
class Proposed:
    """The change was stored as the open proposal, with the identifier `proposal`."""

    version: int
    proposal: str


@dataclass(frozen=True, kw_only=True)
class ProposalRefused:
    """The change was not proposed, or with `outcome_unknown` it may have been.

    `reason` is a reason code for operators.
    """

    reason: str
    detail: str


# Returns None for a text that is not a valid configuration.
Parse = Callable[[str], Declaration | None]


class Configuration:
    """Proposes, prepares, accepts, aborts and applies configuration versions."""

    def __init__(
        self,
        *,
        table: TableService,
        clock: Clock,
        shared: TableView,
        membership: Membership,
        parse: Parse,
        draw_id: Callable[[], str],
        assurance_seconds: float,
        abort_seconds: float,
    ) -> None:
        self._table = table
        self._clock = clock
        self._shared = shared
        self._membership = membership
        self._parse = parse
        self._draw_id = draw_id
        self._assurance_seconds = assurance_seconds
        self._abort_seconds = abort_seconds
        self._applied = AppliedConfiguration(
            version=0, text="", declaration=Declaration()
        )
        self._head_read: HeadRead | None = None
        self._prepared_proposal: ProposalRow | None = None
        self._first_seen: dict[str, float] = {}
        self._peer_answers: dict[str, PeerAnswer] = {}

    @property
    def applied(self) -> AppliedConfiguration:
        """Return the configuration that this controller uses."""
        return self._applied

    @property
    def prepared(self) -> str:
        """Return the identifier of the proposal that is prepared, empty if none."""
        return self._prepared_proposal.proposal if self._prepared_proposal else ""

    @property
    def head_read(self) -> HeadRead | None:
        """Return the last read of the row that names the version in force."""
        return self._head_read

    @property
    def open_proposal(self) -> ProposalRow | None:
        """Return the proposal that was open at the last read."""
        row = self._shared.get(PROPOSAL, ProposalRow)
        return row.value if row else None

    def history(self) -> list[VersionRow]:
        """Return the accepted versions, latest first."""
        rows = [
            v.value for v in self._shared.with_prefix(VERSIONS, VersionRow).values()
        ]
        return sorted(rows, key=lambda r: -r.version)

    def assurance(self) -> Assured | NotAssured:
        """Return whether the version in force is known for certain and is used."""
        cell = self._membership.latest_cell
        members = cell.members if cell else ()
        verdict = assess_assurance(
            member=self._membership.identity.name,
            now=self._clock.now(),
            limit_seconds=self._assurance_seconds,
            cell=CellView(epoch=self._membership.epoch, members=members),
            own_read=self._head_read,
            holds_newer=self._prepared_proposal is not None,
            peer_answers=tuple(self._peer_answers.values()),
        )
        if isinstance(verdict, Assured) and verdict.version != self._applied.version:
            return NotAssured(reason=f"version {verdict.version} is not applied yet")
        return verdict

    def record_peer_answer(self, answer: PeerAnswer) -> None:
        """Record a peer's latest answer, which can confirm the version in force."""
        self._peer_answers[answer.member] = answer

    def after_read(self, asked_at: float) -> None:
        """Apply and prepare what was read; `asked_at` is the time before the read."""
        head = self._shared.get(HEAD, HeadRow)
        version = head.value.version if head else 0
        self._head_read = HeadRead(version=version, asked_at=asked_at)
        self._apply(version)
        self._prepare()

    async def propose(
        self, *, text: str, expect_version: int, author: str
    ) -> Proposed | ProposalRefused:
        """Propose a change on top of `expect_version`, the version in force."""
        head = self._shared.get(HEAD, HeadRow)
        in_force = head.value.version if head else 0
        if in_force != expect_version:
            detail = f"version {in_force} is in force, not {expect_version}"
            return ProposalRefused(reason="version_moved", detail=detail)
        proposal = ProposalRow(
            version=expect_version + 1,
            text=text,
            author=author,
            proposal=self._draw_id(),
            proposer=self._membership.identity.name,
        )
        put = TypedPut(key=SHARED + PROPOSAL, value=proposal, expect=0)
        check = Check(key=SHARED + HEAD, version=head.version if head else 0)
        change = transaction(proposal.proposal, put, checks=(check,))
        match await commit_and_resolve(self._table, change):
            case Committed():
                return Proposed(version=proposal.version, proposal=proposal.proposal)
            case Conflict():
                detail = "another change was opened or accepted first; read and retry"
                return ProposalRefused(reason="lost_race", detail=detail)
            case Unavailable(reason=error):
                return ProposalRefused(reason="table_unavailable", detail=error)
            case _:
                detail = "the table's answer was lost; see the history before retrying"
                return ProposalRefused(reason="outcome_unknown", detail=detail)

    async def advance_proposal(self) -> None:
        """Accept or abort the open proposal, whichever controller proposed it.

        A proposer may crash at any step, so every controller does this; the
        compare-and-set on the head lets exactly one acceptance take effect.
        """
        row = self._shared.get(PROPOSAL, ProposalRow)
        if row is None:
            self._first_seen.clear()
            return
        now = self._clock.now()
        first_seen = self._first_seen.setdefault(row.value.proposal, now)
        cells = self._shared.with_prefix(CELLS, CellRow)
        decision = decide_proposal(
            proposal=row.value,
            cells=tuple(c.value for c in cells.values()),
            members=tuple(self._membership.members().values()),
            open_seconds=now - first_seen,
            abort_seconds=self._abort_seconds,
        )
        match decision:
            case Accept():
                await self._accept(row.value, row.version)
            case Abort():
                await self._abort(row.version)

    async def _accept(self, proposal: ProposalRow, row_version: int) -> None:
        head = self._shared.get(HEAD, HeadRow)
        cells = self._shared.with_prefix(CELLS, CellRow)
        checks = [
            Check(key=SHARED + HEAD, version=head.version if head else 0),
            Check(key=SHARED + PROPOSAL, version=row_version),
        ]
        # A cell whose epoch has advanced meanwhile may have other majorities.
        checks += [
            Check(key=SHARED + CELLS + name, version=cell.version)
            for name, cell in cells.items()
        ]
        new_head = HeadRow(version=proposal.version, proposal=proposal.proposal)
        accepted = VersionRow(
            version=proposal.version,
            text=proposal.text,
            author=proposal.author,
            proposal=proposal.proposal,
        )
        version_key = f"{SHARED}{VERSIONS}{proposal.version:08d}"
        old_key = f"{SHARED}{VERSIONS}{proposal.version - KEPT_VERSIONS:08d}"
        change = Transaction(
            transaction=self._draw_id(),
            checks=tuple(checks),
            puts=(
                Put(key=SHARED + HEAD, value=to_plain(new_head)),
                Put(key=version_key, value=to_plain(accepted)),
            ),
            deletes=(SHARED + PROPOSAL, old_key),
        )
        await self._table.commit(change)

    async def _abort(self, row_version: int) -> None:
        change = Transaction(
            transaction=self._draw_id(),
            checks=(Check(key=SHARED + PROPOSAL, version=row_version),),
            deletes=(SHARED + PROPOSAL,),
        )
        await self._table.commit(change)

    def _apply(self, version: int) -> None:
        if version <= self._applied.version:
            return
        row = self._shared.get(f"{VERSIONS}{version:08d}", VersionRow)
        if row is None:
            return
        declaration = self._parse(row.value.text)
        if declaration is not None:
            self._applied = AppliedConfiguration(
                version=version, text=row.value.text, declaration=declaration
            )

    def _prepare(self) -> None:
        proposal = self.open_proposal
        if proposal is None or proposal.version <= self._applied.version:
            self._prepared_proposal = None
            return
        if self._parse(proposal.text) is not None:
            self._prepared_proposal = proposal
