"""Tests of the ports and of overlapping restarts of processes."""

import asyncio
from itertools import islice

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
