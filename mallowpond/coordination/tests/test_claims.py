"""Which claim operations a controller counts as unfinished."""

import asyncio

from mallowpond.coordination.claims import ClaimCommitter, SettledAnswer, Void
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.claims import ClaimRow, ClaimState


async def test_work_counts_as_waiting_until_its_transaction_has_ended():
    """A planned stop of a controller must not leave a claim without a verdict.

    The stop waits until no operation is unanswered. One whose transaction is under way
    has left the queue; if it were not counted, the stop would cancel its transaction.
    """
    reading, read = asyncio.Event(), asyncio.Event()

    class SlowTable(MemoryTable):
        async def read(self, key):
            reading.set()
            await read.wait()
            return await super().read(key)

    committer = ClaimCommitter(
        table=SlowTable(),
        member="m",
        draw_id=lambda: "t",
        live_gateways=frozenset,
    )
    row = ClaimRow(
        workspace="w",
        key="k",
        attempt="a",
        gateway="g",
        units=5,
        state=ClaimState.VOID,
    )
    running = asyncio.create_task(committer.run())
    settling = asyncio.create_task(committer.submit(Void(row=row)))
    await reading.wait()
    assert committer.unanswered == 1
    read.set()
    assert await settling == SettledAnswer()
    assert committer.unanswered == 0
    running.cancel()
