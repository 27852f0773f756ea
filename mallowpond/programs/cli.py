"""The command line."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer

from mallowpond import __version__
from mallowpond.programs.logs import set_up_logs
from mallowpond.programs.settings import (
    ControllerSettings,
    EngineStandinSettings,
    GatewaySettings,
    LogSettings,
    PlatformStandinSettings,
    load_settings,
)
from mallowpond.protocol.declaration_file import Faults

T = TypeVar("T")
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3

app = typer.Typer(
    help="Serve models whose replicas span several hosts.", no_args_is_help=True
)
standin = typer.Typer(help="Run stand-ins for tests and trials.", no_args_is_help=True)
app.add_typer(standin, name="standin")
ConfigFile = Annotated[Path, typer.Option("--config", help="Settings in TOML.")]


def _print_version(wanted: bool) -> None:
    if wanted:
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
    """Print every fault of a file with its path inside it."""
    for fault in faults.faults:
        where = f"{path}: {fault.path}" if fault.path else str(path)
        typer.echo(f"{where}: {fault.message}", err=True)


def _run(program: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    asyncio.run(_until_signal(program))


async def _until_signal(program: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        # A second signal sets the same event again: it cuts nothing off.
        loop.add_signal_handler(number, stop.set)
    await program(stop)


@app.command()
def gateway(config: ConfigFile) -> None:
    """Run a gateway, which meets callers."""
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
