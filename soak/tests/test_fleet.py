"""Processes are started again once, whatever overlaps."""

import asyncio
from itertools import islice

from mallowpond.standins.free_ports import (
    FIRST_EPHEMERAL_PORT,
    FIRST_PORT,
    free_ports,
)

from soak.fleet import Fleet, Member


def test_ports_are_not_among_those_of_connections():
    """
    Symptom: a run does not start, since a port is in use.
    Sequence: a port is found free; a connection gets it; a process would listen there.
    Cause: the kernel gave the port to the connection.
    """
    ports = list(islice(free_ports(), 100))
    assert len(set(ports)) == 100
    assert all(FIRST_PORT <= port < FIRST_EPHEMERAL_PORT for port in ports)


def test_overlapping_restarts_of_one_engine_end(tmp_path):
    """
    Symptom: a run never ends, after its last fault.
    Sequence: an engine is killed twice at once; one of the two starts it again.
    Cause: the other one waited for the end of the new process.
    """

    options = tmp_path / "options"
    options.write_text('host = "127.0.0.1"\nport = 0\n')

    async def restart_twice() -> None:
        engine = Member(
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
            assert engine.wanted and engine.is_running
        finally:
            await fleet.close()

    asyncio.run(restart_twice())
