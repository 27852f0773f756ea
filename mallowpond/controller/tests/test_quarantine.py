"""Sharing of quarantine records between controllers through the table."""

import random

from mallowpond.controller.quarantine import (
    MAX_ROWS,
    MAX_ROWS_PER_STEP,
    ROW_RETENTION_SECONDS,
    ControllerQuarantine,
)
from mallowpond.coordination.keys import SHARED
from mallowpond.coordination.store import TableView, new_id
from mallowpond.node.tests.fakes import FakeClock
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.crash_ledger import QUARANTINE_SECONDS, CrashRecord, Ending
from mallowpond.state.fleet import Process
from mallowpond.state.part_ledger import PartEnding, PartRecord


class QuarantineReplica:
    """The quarantine of one controller over a table that others may share."""

    def __init__(self, table, clock):
        self.table, self.clock = table, clock
        self.shared = TableView(table=table, prefix=SHARED)
        rng = random.Random()
        self.quarantine = ControllerQuarantine(
            table=table,
            shared=self.shared,
            clock=clock,
            draw_id=lambda: new_id(rng),
            wall_time=clock.now,
        )

    async def step(self):
        """Refresh the shared rows and run one step, as on each heartbeat."""
        await self.shared.refresh()
        await self.quarantine.step()

    @property
    def published(self):
        """Return the requests whose records are sent to gateways."""
        return [record.request for record in self.quarantine.published()]


def record(request, *targets):
    """Return a record as a gateway reports it."""
    endings = tuple(Ending(process=Process(id=t, born=None), ran=0.1) for t in targets)
    return CrashRecord(request=request, endings=endings)


async def test_what_two_controllers_hear_in_part_is_put_together():
    """A request went on crashing groups when gateways used several controllers.

    Two gateways saw two of its endings each and reported them to two controllers, and
    each controller counted only the reports of its own gateways.
    """
    table, clock = MemoryTable(), FakeClock()
    first, second = QuarantineReplica(table, clock), QuarantineReplica(table, clock)
    first.quarantine.on_report((record("bad", "a", "b"),))
    second.quarantine.on_report((record("bad", "c", "d"),))
    for _ in range(3):
        await first.step()
        await second.step()
    assert first.published == second.published == ["bad"]
    before = second.quarantine.version
    refuted = record("bad", "a", "b", "c", "d")
    endings = tuple(
        Ending(process=e.process, ran=e.ran, refuted=True) for e in refuted.endings
    )
    first.quarantine.on_report((CrashRecord(request="bad", endings=endings),))
    for _ in range(2):
        await first.step()
        await second.step()
    assert second.quarantine.version != before
    (published,) = second.quarantine.published()
    assert all(ending.refuted for ending in published.endings)


async def test_rows_go_when_they_hold_nothing_back():
    table, clock = MemoryTable(), FakeClock()
    replica = QuarantineReplica(table, clock)
    replica.quarantine.on_report((record("bad", "a", "b", "c"), record("beside", "a")))
    await replica.step()
    assert len(table._rows) == 2
    clock.time += ROW_RETENTION_SECONDS + 1.0
    await replica.step()
    assert [key.rpartition("/")[2] for key in table._rows] == ["bad"]
    clock.time += QUARANTINE_SECONDS
    await replica.step()
    await replica.step()
    assert table._rows == {}
    assert replica.published == []


async def test_rows_are_bounded_in_a_step_and_in_all():
    table, clock = MemoryTable(), FakeClock()
    replica = QuarantineReplica(table, clock)
    replica.quarantine.on_report(
        tuple(record(f"r{n}", "a") for n in range(MAX_ROWS + 200))
    )
    await replica.step()
    assert len(table._rows) == MAX_ROWS_PER_STEP
    for _ in range(40):
        await replica.step()
    assert len(table._rows) == MAX_ROWS


def part_record(part, *numbers, refuted=False):
    """Return the record of a part as a gateway reports it."""
    endings = tuple(
        PartEnding(
            process=Process(id=f"t{n}", born=None), request=f"r{n}", refuted=refuted
        )
        for n in numbers
    )
    return PartRecord(part=part, endings=endings)


async def test_parts_of_two_controllers_are_put_together_and_refuted():
    """Guards against a part whose endings each controller counts for itself."""
    table, clock = MemoryTable(), FakeClock()
    first, second = QuarantineReplica(table, clock), QuarantineReplica(table, clock)
    first.quarantine.on_report((part_record("0:bad", 1, 2),))
    second.quarantine.on_report((part_record("0:bad", 3),))
    for _ in range(3):
        await first.step()
        await second.step()
    for replica in (first, second):
        (published,) = replica.quarantine.published_parts()
        assert published.has_enough_evidence
    first.quarantine.on_report((part_record("0:bad", 1, 2, 3, refuted=True),))
    for _ in range(2):
        await first.step()
        await second.step()
    (published,) = second.quarantine.published_parts()
    assert not published.has_enough_evidence
    clock.time += ROW_RETENTION_SECONDS + 1.0
    await second.step()
    assert table._rows == {}
