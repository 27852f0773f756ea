"""The real programs keep their promises under a short series of faults."""

import asyncio

import pytest

from soak.__main__ import play
from soak.cases import Case
from soak.judge import broken_promises
from soak.records import Ending

SECONDS = 4.0


# Each seed with its draw of faults.
@pytest.mark.parametrize(("seed", "draw"), [(1, 1), (1, 2)])
def test_a_short_seeded_run_keeps_every_promise(seed, draw, tmp_path):
    """Symptom: a promise holds over fakes and breaks between real processes.

    Sequence: nodes, engines and links are killed, stopped, paused and cut by a seed.
    Cause: any; bounds in time are left to runs by hand, since a busy machine adds
    to them.
    """
    run = asyncio.run(play(Case(seed=seed, seconds=SECONDS, draw=draw), tmp_path))
    assert broken_promises(run, timed=False) == []
    assert any(r.status == 200 and r.ending is Ending.WHOLE for r in run.callers)
