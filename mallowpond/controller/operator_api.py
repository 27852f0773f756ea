"""HTTP API for operators: declarations, history, queries and commands."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from urllib.parse import parse_qs

from prometheus_client import generate_latest

from mallowpond.controller.metrics import ControllerMetrics
from mallowpond.controller.tables import Tables
from mallowpond.coordination.configuration import (
    Configuration,
    ProposalRefused,
    Proposed,
)
from mallowpond.coordination.groups import GroupManager
from mallowpond.coordination.ports import Host
from mallowpond.protocol.declaration_file import (
    Document,
    Faults,
    decode_document,
    parse_declaration,
)
from mallowpond.protocol.problems import CONTENT_TYPE, Problem
from mallowpond.protocol.query import (
    Command,
    DrainHost,
    QueryFault,
    RestoreGroup,
    RestoreHost,
    Show,
    StopGroup,
    parse_statement,
    run_show,
)
from mallowpond.state.codec import to_json
from mallowpond.transport.http_server import Exchange, HttpRequest

# Interval and limit of the wait for the outcome of a proposal, in seconds.
OUTCOME_POLL_SECONDS = 0.05
OUTCOME_LIMIT_SECONDS = 30.0


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """A change that is in force, with the configuration version it became."""

    version: int


class OperatorApi:
    """Serves applied declarations, history, queries, commands, health and metrics."""

    def __init__(
        self,
        *,
        configuration: Configuration,
        groups: GroupManager,
        tables: Tables,
        metrics: ControllerMetrics,
        is_ready: Callable[[], bool],
        hosts: Callable[[], tuple[Host, ...]],
    ) -> None:
        self._configuration = configuration
        self._groups = groups
        self._tables = tables
        self._metrics = metrics
        self._is_ready = is_ready
        self._hosts = hosts

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Answer one operator request."""
        match (request.method, request.path):
            case ("GET", "/healthz"):
                await exchange.respond(200, b"alive\n", content_type="text/plain")
            case ("GET", "/readyz"):
                ready = self._is_ready()
                body = b"ready\n" if ready else b"not ready\n"
                status = 200 if ready else 503
                await exchange.respond(status, body, content_type="text/plain")
            case ("GET", "/metrics"):
                text = generate_latest(self._metrics.registry)
                await exchange.respond(200, text, content_type="text/plain")
            case ("GET", "/v1/declaration"):
                await self._answer_declaration(exchange)
            case ("GET", "/v1/history"):
                await self._answer_history(exchange)
            case ("POST", "/v1/apply"):
                await self._apply(request, exchange)
            case ("POST", "/v1/statement"):
                await self._run_statement(request, exchange)
            case _:
                await _refuse(exchange, 404, "unknown_path", request.path)

    async def _answer_declaration(self, exchange: Exchange) -> None:
        applied = self._configuration.applied
        source = decode_document(applied.text).source
        body = {"version": applied.version, "source": source}
        await exchange.respond(200, json.dumps(body).encode())

    async def _answer_history(self, exchange: Exchange) -> None:
        rows = [
            {"version": r.version, "author": r.author, "proposal": r.proposal}
            for r in self._configuration.history()
        ]
        await exchange.respond(200, json.dumps(rows).encode())

    async def _apply(self, request: HttpRequest, exchange: Exchange) -> None:
        query = {k: v[0] for k, v in parse_qs(request.target.partition("?")[2]).items()}
        expect = query.get("expect", "")
        if not expect.isdigit():
            await _refuse(exchange, 400, "bad_version", "say expect=VERSION")
            return
        try:
            source = request.body.decode("utf-8")
        except UnicodeDecodeError:
            await _refuse(exchange, 400, "bad_declaration", "the file is not UTF-8")
            return
        checked = parse_declaration(source)
        if isinstance(checked, Faults):
            lines = (f"{f.path}: {f.message}" for f in checked.faults)
            await _refuse(exchange, 400, "bad_declaration", "\n".join(lines))
            return
        author = query.get("author", "operator")
        outcome = await self.apply_source(source, int(expect), author)
        await _answer_change(outcome, exchange)

    async def apply_source(
        self, source: str, expect: int, author: str
    ) -> Accepted | ProposalRefused:
        """Propose the text of a declaration file and wait for the outcome.

        Drained hosts and stopped groups, which commands set, stay as they are.
        """
        document = replace(self._document(), source=source)
        return await self.propose(document, expect, author)

    async def _run_statement(self, request: HttpRequest, exchange: Exchange) -> None:
        statement = parse_statement(request.body.decode("utf-8", "replace"))
        match statement:
            case QueryFault(message=message):
                await _refuse(exchange, 400, "bad_statement", message)
            case Show():
                await self._show(statement, exchange)
            case _:
                await self._command(statement, exchange)

    async def _show(self, show: Show, exchange: Exchange) -> None:
        tables = self._tables
        table = tables.build(show.table)
        if table is None:
            detail = f"no table {show.table!r}; there are {', '.join(tables.names)}"
            await _refuse(exchange, 400, "unknown_table", detail)
            return
        shown = run_show(show, table)
        if isinstance(shown, QueryFault):
            columns = ", ".join(shown.expected)
            detail = f"{show.table} has no column {shown.found!r}; it has {columns}"
            await _refuse(exchange, 400, "unknown_column", detail)
            return
        await exchange.respond(200, to_json(shown))

    async def _command(self, command: Command, exchange: Exchange) -> None:
        unknown = self._unknown_name(command)
        if unknown is not None:
            await _refuse(exchange, 400, "unknown_name", unknown)
            return
        applied = self._configuration.applied
        document = apply_command(self._document(), command)
        outcome = await self.propose(document, applied.version, "command")
        await _answer_change(outcome, exchange)

    def _unknown_name(self, command: Command) -> str | None:
        match command:
            case DrainHost(host=host):
                if host not in {h.name for h in self._hosts()}:
                    return f"the platform lists no host {host!r}"
            case StopGroup(group=group):
                if group not in self._groups.groups():
                    return f"there is no group {group!r}"
            case RestoreHost(host=host):
                if host not in self._document().drained_hosts:
                    return f"host {host!r} is not drained"
            case RestoreGroup(group=group):
                if group not in self._document().stopped_groups:
                    return f"group {group!r} is not stopped"
        return None

    def _document(self) -> Document:
        return decode_document(self._configuration.applied.text)

    async def propose(
        self, document: Document, expect: int, author: str
    ) -> Accepted | ProposalRefused:
        """Propose a document and wait until it is accepted or aborted.

        `expect` is the version that the change is based on. After
        `OUTCOME_LIMIT_SECONDS` the refusal has the reason `outcome_unknown`.
        """
        proposed = await self._configuration.propose(
            text=document.encode(), expect_version=expect, author=author
        )
        if isinstance(proposed, ProposalRefused):
            return proposed
        return await self._await_outcome(proposed)

    async def _await_outcome(self, proposed: Proposed) -> Accepted | ProposalRefused:
        configuration = self._configuration
        was_open = False
        for _ in range(int(OUTCOME_LIMIT_SECONDS / OUTCOME_POLL_SECONDS)):
            found = {r.proposal: r.version for r in configuration.history()}
            if proposed.proposal in found:
                return Accepted(version=found[proposed.proposal])
            open_proposal = configuration.open_proposal
            is_open = (
                open_proposal is not None
                and open_proposal.proposal == proposed.proposal
            )
            if was_open and not is_open:
                return ProposalRefused(
                    reason="aborted",
                    detail="no majority of every cell prepared the change in time",
                )
            was_open = was_open or is_open
            await asyncio.sleep(OUTCOME_POLL_SECONDS)
        return ProposalRefused(
            reason="outcome_unknown",
            detail="the change is still open; see the history before retrying",
        )


async def _answer_change(
    outcome: Accepted | ProposalRefused, exchange: Exchange
) -> None:
    match outcome:
        case Accepted(version=version):
            await exchange.respond(200, json.dumps({"version": version}).encode())
        case ProposalRefused(reason=reason, detail=detail):
            await _refuse(exchange, 409, reason, detail)


def apply_command(document: Document, command: Command) -> Document:
    """Return the document with the change that a command makes."""
    drained, stopped = set(document.drained_hosts), set(document.stopped_groups)
    match command:
        case DrainHost(host=host):
            drained.add(host)
        case RestoreHost(host=host):
            drained.discard(host)
        case StopGroup(group=group):
            stopped.add(group)
        case RestoreGroup(group=group):
            stopped.discard(group)
    return replace(
        document,
        drained_hosts=tuple(sorted(drained)),
        stopped_groups=tuple(sorted(stopped)),
    )


async def _refuse(exchange: Exchange, status: int, reason: str, detail: str) -> None:
    problem = Problem(status=status, reason=reason, detail=detail)
    await exchange.respond(
        status, problem.body(""), problem.headers(""), content_type=CONTENT_TYPE
    )
