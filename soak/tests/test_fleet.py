"""Tests of the ports and of overlapping restarts of processes."""

import asyncio
import signal
import time
from contextlib import ExitStack
from itertools import islice
from pathlib import Path

from mallowpond.standins.free_ports import (
    FIRST_EPHEMERAL_PORT,
    FIRST_PORT,
    free_ports,
)
from soak.fleet import Fleet, ManagedProcess


def test_ports_are_not_among_those_of_connections():
    """A run failed to start because a port was in use.

    The port was free when it was chosen; before the process listened on it, the kernel
    assigned it to an outgoing connection.
    """
    ports = list(islice(free_ports(), 100))
    assert len(set(ports)) == 100
    assert all(FIRST_PORT <= port < FIRST_EPHEMERAL_PORT for port in ports)


def test_overlapping_restarts_of_one_engine_end(tmp_path):
    """A run never ended after its last fault.

    Two faults killed an engine at once and one restarted it; the other waited for the
    end of the new process.
    """

    options = tmp_path / "options"
    options.write_text('host = "127.0.0.1"\nport = 0\n')

    async def restart_twice() -> None:
        engine = ManagedProcess(
            name="e",
            arguments=("standin", "observatory-store", "--config", str(options)),
            environment={},
            log=tmp_path / "log",
            options={"id": "i-1"},
        )
        fleet = Fleet(folder=tmp_path, engines=[engine])
        engine.start()
        try:
            async with asyncio.timeout(10.0):
                await asyncio.gather(fleet.restart(engine), fleet.restart(engine))
            assert engine.should_run and engine.is_running
        finally:
            await fleet.close()

    asyncio.run(restart_twice())


def _state_of(pid: int) -> str:
    """Return the state letter of a process: S if it sleeps, T if it is paused."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]


def _wait_until_paused(pid: int, *, is_paused: bool) -> None:
    limit = time.monotonic() + 5.0
    while (_state_of(pid) == "T") != is_paused:
        assert time.monotonic() < limit
        time.sleep(0.01)


def _new_store(tmp_path) -> ManagedProcess:
    options = tmp_path / "options"
    options.write_text('host = "127.0.0.1"\nport = 0\n')
    return ManagedProcess(
        name="s",
        arguments=("standin", "observatory-store", "--config", str(options)),
        environment={},
        log=tmp_path / "log",
    )


def test_a_process_goes_on_when_the_last_of_its_pauses_ends(tmp_path):
    """Guards against a pause that ends early as another fault's pause ends."""
    store = _new_store(tmp_path)
    store.start()
    try:
        with ExitStack() as first, ExitStack() as second:
            first.enter_context(store.paused())
            second.enter_context(store.paused())
            _wait_until_paused(store.process.pid, is_paused=True)
            first.close()
            time.sleep(0.1)
            assert _state_of(store.process.pid) == "T"
            second.close()
            _wait_until_paused(store.process.pid, is_paused=False)
    finally:
        store.signal(signal.SIGKILL)
        store.process.wait()


def test_a_pause_ends_with_its_process(tmp_path):
    """Guards against a killed process that stays paused, or a paused successor."""
    store = _new_store(tmp_path)
    store.start()
    first = store.process
    try:
        with store.paused():
            _wait_until_paused(first.pid, is_paused=True)
            store.signal(signal.SIGKILL)
            assert first.wait(5.0) == -signal.SIGKILL
            store.start()
            assert _state_of(store.process.pid) != "T"
        assert store.is_running
        _wait_until_paused(store.process.pid, is_paused=False)
    finally:
        store.signal(signal.SIGKILL)
        store.process.wait()
