"""The command line."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer

from mallowpond import __version__
from mallowpond.programs import operator_commands
from mallowpond.programs.explain import (
    LogFiles,
    explain_fingerprint,
    explain_group,
    explain_part,
    explain_request,
    explain_version,
    render,
)
from mallowpond.programs.logs import set_up_logs
from mallowpond.programs.losses import count_losses, render_losses
from mallowpond.protocol.declaration_file import Faults
from mallowpond.settings import (
    ControllerSettings,
    EngineStandinSettings,
    GatewaySettings,
    LogSettings,
    PlatformStandinSettings,
    load_settings,
)

T = TypeVar("T")
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3

app = typer.Typer(
    help="Serve models whose replicas span several hosts.",
    epilog="Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable.",
    no_args_is_help=True,
)
standin = typer.Typer(help="Run stand-ins for tests and trials.", no_args_is_help=True)
app.add_typer(standin, name="standin")
DEFAULT_CONTROLLER = "127.0.0.1:7400"
ControllerAddress = Annotated[
    str,
    typer.Option(
        "--controller", envvar="MALLOWPOND_CONTROLLER", help="A controller's IP:PORT."
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
ConfigFile = Annotated[Path, typer.Option("--config", help="Settings in TOML.")]


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(f"mallowpond {__version__}")
        raise typer.Exit


@app.callback()
def _root(
    version: Annotated[
        bool, typer.Option("--version", callback=_print_version, is_eager=True)
    ] = False,
) -> None:
    """Serve models whose replicas span several hosts."""


def _load(path: Path, kind: type[T]) -> T:
    settings = load_settings(path, kind)
    if isinstance(settings, Faults):
        print_faults(path, settings)
        raise typer.Exit(EXIT_USAGE)
    return settings


def print_faults(path: Path, faults: Faults) -> None:
    """Print all faults of a file, each with its path inside the file."""
    for fault in faults.faults:
        where = f"{path}: {fault.path}" if fault.path else str(path)
        typer.echo(f"{where}: {fault.message}", err=True)


def _run(program: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    asyncio.run(_until_signal(program))


async def _until_signal(program: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        # A second signal sets the same event again and so interrupts nothing.
        loop.add_signal_handler(number, stop.set)
    await program(stop)


@app.command()
def gateway(config: ConfigFile) -> None:
    """Run a gateway, which serves callers."""
    from mallowpond.programs.processes import run_gateway

    settings = _load(config, GatewaySettings)
    set_up_logs(settings.log)
    _run(lambda stop: run_gateway(settings, stop))


@app.command()
def controller(config: ConfigFile) -> None:
    """Run a controller, which manages groups, configuration and claims."""
    from mallowpond.programs.processes import run_controller

    settings = _load(config, ControllerSettings)
    set_up_logs(settings.log)
    _run(lambda stop: run_controller(settings, stop))


@app.command()
def node() -> None:
    """Run a node on the platform; its settings come from the platform."""
    from mallowpond.platform.program import main as run_node

    run_node()


@standin.command("platform")
def standin_platform(config: ConfigFile) -> None:
    """Run a stand-in for the platform's table service and host list."""
    from mallowpond.programs.processes import run_platform

    settings = _load(config, PlatformStandinSettings)
    set_up_logs(LogSettings())
    _run(lambda stop: run_platform(settings, stop))


@standin.command("engine")
def standin_engine(config: ConfigFile) -> None:
    """Run a stand-in for a model engine or plain service."""
    from mallowpond.programs.processes import run_engine

    settings = _load(config, EngineStandinSettings)
    set_up_logs(LogSettings())
    _run(lambda stop: run_engine(settings, stop))


@standin.command("observatory-store")
def standin_observatory_store(config: ConfigFile) -> None:
    """Run a stand-in for the observatory platform's store."""
    from mallowpond.programs.processes import run_observatory_store
    from mallowpond.standins.observatory_store import StoreOptions

    options = _load(config, StoreOptions)
    set_up_logs(LogSettings())
    _run(lambda stop: run_observatory_store(options, stop))


@standin.command("observatory-engine")
def standin_observatory_engine(config: ConfigFile) -> None:
    """Run a stand-in for an engine of the observatory platform."""
    from mallowpond.programs.processes import run_observatory_engine
    from mallowpond.standins.observatory_engine import EngineOptions

    options = _load(config, EngineOptions)
    set_up_logs(LogSettings())
    _run(lambda stop: run_observatory_engine(options, stop))


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="A declaration in TOML.")],
) -> None:
    """Check a declaration without a running system."""
    checked = operator_commands.check_file(file)
    if isinstance(checked, Faults):
        print_faults(file, checked)
        raise typer.Exit(EXIT_REFUSED)
    typer.echo(f"{file}: {checked}")


@app.command()
def apply(
    file: Annotated[Path, typer.Argument(help="A declaration in TOML.")],
    expect_version: Annotated[
        int, typer.Option(help="The version that the change is made on.")
    ],
    controller: ControllerAddress = DEFAULT_CONTROLLER,
    author: Annotated[str, typer.Option(help="Who makes the change.")] = "operator",
    as_json: AsJson = False,
) -> None:
    """Show the difference, then bring a declaration in force everywhere."""
    checked = operator_commands.check_file(file)
    if isinstance(checked, Faults):
        print_faults(file, checked)
        raise typer.Exit(EXIT_REFUSED)
    reply = asyncio.run(
        operator_commands.apply_file(
            controller, file, expect_version, author, quiet=as_json
        )
    )
    _print_reply(reply, as_json)


@app.command()
def history(
    controller: ControllerAddress = DEFAULT_CONTROLLER, as_json: AsJson = False
) -> None:
    """Show the accepted configuration versions, latest first."""
    _run_statement("show versions order by version desc", controller, as_json)


@app.command()
def query(
    statement: Annotated[str, typer.Argument(help="For example: show groups")],
    controller: ControllerAddress = DEFAULT_CONTROLLER,
    as_json: AsJson = False,
) -> None:
    """Run one statement of the query and command language."""
    _run_statement(statement, controller, as_json)


@app.command()
def drain(
    host: str,
    controller: ControllerAddress = DEFAULT_CONTROLLER,
    as_json: AsJson = False,
) -> None:
    """Take a host out of every group, gracefully."""
    _run_statement(f"drain host {host}", controller, as_json)


@app.command()
def stop(
    group: str,
    controller: ControllerAddress = DEFAULT_CONTROLLER,
    as_json: AsJson = False,
) -> None:
    """Stop a group, gracefully."""
    _run_statement(f"stop group {group}", controller, as_json)


@app.command()
def restore(
    kind: Annotated[str, typer.Argument(help="'host' or 'group'")],
    name: str,
    controller: ControllerAddress = DEFAULT_CONTROLLER,
    as_json: AsJson = False,
) -> None:
    """Take back a drain or a stop."""
    _run_statement(f"restore {kind} {name}", controller, as_json)


def _run_statement(statement: str, controller: str, as_json: bool) -> None:
    _print_reply(
        asyncio.run(operator_commands.run_statement(controller, statement)), as_json
    )


def _print_reply(reply: operator_commands.Reply, as_json: bool) -> None:
    match reply:
        case operator_commands.Unreachable(reason=reason):
            typer.echo(f"The controller cannot be reached: {reason}", err=True)
            raise typer.Exit(EXIT_UNREACHABLE)
        case operator_commands.OperatorRefused(reason=reason, detail=detail):
            typer.echo(f"Refused ({reason}): {detail}", err=True)
            raise typer.Exit(EXIT_REFUSED)
        case operator_commands.Done(document=document):
            typer.echo(operator_commands.render(document, as_json=as_json))


@app.command()
def explain(
    words: Annotated[
        list[str] | None,
        typer.Argument(
            metavar="[ID] [FILE ...]",
            help="A request's id, and logs, each named after its host; none: stdin.",
        ),
    ] = None,
    group: Annotated[str, typer.Option(help="A group's name, in place of ID.")] = "",
    version: Annotated[
        int, typer.Option(help="A configuration version, in place of ID.")
    ] = 0,
    fingerprint: Annotated[
        str, typer.Option(help="A request's fingerprint, in place of ID.")
    ] = "",
    part: Annotated[
        str, typer.Option(help="The id of a part of prompts, in place of ID.")
    ] = "",
) -> None:
    """Tell what happened to a request, a group or a configuration, from logs."""
    names = list(words or ())
    options = (group, version, fingerprint, part)
    request = "" if any(options) else names.pop(0) if names else ""
    if sum(map(bool, (request, *options))) != 1:
        typer.echo(
            "Say one of ID, --group, --version, --fingerprint and --part.", err=True
        )
        raise typer.Exit(EXIT_USAGE)
    logs = _read_logs([Path(name) for name in names])
    if request:
        explanation = explain_request(logs.lines, request)
    elif group:
        explanation = explain_group(logs.lines, group)
    elif fingerprint:
        explanation = explain_fingerprint(logs.lines, fingerprint)
    elif part:
        explanation = explain_part(logs.lines, part)
    else:
        explanation = explain_version(logs.lines, version)
    if logs.unreadable:
        typer.echo(f"{logs.unreadable} lines are no log lines.", err=True)
    if explanation is None:
        typer.echo("No line names it.", err=True)
        raise typer.Exit(EXIT_REFUSED)
    for line in render(explanation):
        typer.echo(line)


@app.command()
def losses(
    files: Annotated[
        list[Path] | None,
        typer.Argument(metavar="[FILE ...]", help="Logs of all hosts; none: stdin."),
    ] = None,
) -> None:
    """Count which requests were late or unserved, and why, from logs."""
    logs = _read_logs(list(files or ()))
    if logs.unreadable:
        typer.echo(f"{logs.unreadable} lines are no log lines.", err=True)
    for line in render_losses(count_losses(logs.lines)):
        typer.echo(line)


def _read_logs(files: list[Path]) -> LogFiles:
    missing = [str(path) for path in files if not path.is_file()]
    if missing:
        typer.echo(f"No such file: {', '.join(missing)}", err=True)
        raise typer.Exit(EXIT_USAGE)
    if files:
        return LogFiles.from_paths(files)
    logs = LogFiles()
    logs.read("-", sys.stdin)
    logs.sort()
    return logs


@app.command()
def demo(
    once: Annotated[bool, typer.Option(help="End after the two requests.")] = False,
) -> None:
    """Bring the whole system up in one process and serve two requests."""
    from mallowpond.programs.demo import DemoFailed, run_demo

    set_up_logs(LogSettings(format="console", level="error"))
    try:
        _run(lambda stop: run_demo(once=once, stop=stop))
    except DemoFailed as failed:
        typer.echo(f"The demonstration failed: {failed}", err=True)
        raise typer.Exit(EXIT_REFUSED) from None


def main() -> None:
    """Run the command line."""
    app()
