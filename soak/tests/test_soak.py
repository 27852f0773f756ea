"""The real programs keep their promises under a short series of faults."""

import asyncio

from soak.__main__ import play
from soak.judge import broken_promises
from soak.records import Ending

SEED = 1
SECONDS = 4.0


def test_a_short_seeded_run_keeps_every_promise(tmp_path):
    """Symptom: a promise holds over fakes and breaks between real processes.

    Sequence: nodes, engines and links are killed, stopped, paused and cut by a seed.
    Cause: any; bounds in time are left to runs by hand, since a busy machine adds
    to them.
    """
    run = asyncio.run(play(SEED, SECONDS, tmp_path))
    assert broken_promises(run, timed=False) == []
    assert any(r.status == 200 and r.ending is Ending.WHOLE for r in run.callers)
