"""Replay a load against a dispatcher's decisions, without a network or an event loop.

Callers arrive at several hosts, whose loads reach the dispatcher at once. A caller that
is refused comes back once, when it was told to, but after a third of the time that it
has left at the latest. Its objective counts from its first attempt.
"""

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from mallowpond.node.dispatcher import Dispatcher, RequestId
from mallowpond.node.group_selector import SlotRequest
from mallowpond.node.messages import PlaceVerdict
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.slot_admission import SlotAdmission
from mallowpond.node.stream_placement import NO_GROUP_RETRY_SECONDS, WAIT_SHARE
from mallowpond.node.tests.fakes import listing, make_rig, member, open_group
from mallowpond.state.admission import jittered_retry_after
from mallowpond.state.fleet import EngineProfile, GroupPhase, ModelSpec
from mallowpond.state.placement_queue import QueueEntry

MODEL = ModelSpec(name="m", size=2, load_seconds=12.0, warm_seconds=1.1)
PROFILE = EngineProfile(
    slots=17,
    models=(MODEL,),
    stride=7,
    step_seconds=0.006,
    prefill_tokens_per_second=50_000,
    typical_prompt_tokens=500,
    typical_answer_tokens=267,
)
PASS_SECONDS = PROFILE.stride * PROFILE.step_seconds
OBJECTIVE = 0.253
PATIENCE = 2.0
TIME_LIMIT = 7.0
ANSWER_SPREAD = 0.5


@dataclass(kw_only=True, eq=False)
class Caller:
    """One request and its attempts."""

    number: int
    arrived_at: float
    tokens: float
    attempts: int = 0
    entry: QueueEntry | None = None
    state: str = ""
    group: tuple | None = None
    host: str = ""
    has_begun: bool = False
    sends: int = 0


@dataclass(kw_only=True)
class Result:
    """What became of the callers; times are from the start of the replay."""

    ends: Counter = field(default_factory=Counter)
    refusals: list = field(default_factory=list)
    idle_at: list = field(default_factory=list)
    returns: list = field(default_factory=list)

    @property
    def wrong_refusals(self):
        """Count refusals within whose patience a slot was free and nobody waited."""
        idle = sorted(self.idle_at)
        return sum(
            any(at < t <= at + patience for t in idle)
            for at, patience, _ in self.refusals
        )

    @property
    def value(self):
        """Return the value of all answers, where a late one counts 0.25."""
        return self.ends["on time"] + 0.25 * self.ends["late"]


class Replay:
    """A discrete-event replay of arrivals, slots and returns on one dispatcher."""

    def __init__(self, rig, *, contested, groups, rate, seconds, seed=1, hosts=8):
        self.rig, self.clock = rig, rig.clock
        self.rng = random.Random(seed)
        # Arrivals have a generator of their own, so that both rules get the same load.
        self.load_rng = random.Random(seed)
        self.rate, self.seconds = rate, seconds
        self.hosts = [f"h{n}" for n in range(hosts)]
        self.loads = {host: Counter() for host in self.hosts}
        self.grants = Counter()
        self.result = Result()
        self.events, self.count = [], 0
        self.engines = {(name, 1): [set(), deque()] for name in groups}
        self.targets = {t.id: t for name in groups for t in open_group(name)}
        self.revision = 1
        self.waiting = {}
        self.callers = 0
        self.start = self.clock.time
        selector = rig.service.placement.selector
        admission = None
        if contested:
            admission = SlotAdmission(
                directory=rig.directory,
                selector=selector,
                clock=self.clock,
                metrics=NodeMetrics(),
                rng=random.Random(seed),
            )
        self.on_place_question = []
        self.dispatcher = Dispatcher(
            name="d",
            peers=self,
            directory=rig.directory,
            selector=selector,
            clock=self.clock,
            find_model=lambda service, model: (PROFILE, MODEL),
            is_dispatcher=lambda: True,
            admission=admission,
        )
        rig.directory.on_change.append(self.dispatcher.wake)

    def at(self, seconds, run, *args):
        """Run something after some seconds."""
        self.count += 1
        heapq.heappush(self.events, (self.clock.time + seconds, self.count, run, args))

    async def run(self):
        """Replay all events, and return the result."""
        self.at(0.0, self._arrive_next)
        self.at(0.0, self._heartbeat)
        while self.events:
            when, _, run, args = heapq.heappop(self.events)
            self.clock.time = max(self.clock.time, when)
            outcome = run(*args)
            if outcome is not None:
                await outcome
        return self.result

    @property
    def now(self):
        """Return the seconds since the start."""
        return self.clock.time - self.start

    # -- callers -------------------------------------------------------------

    def _arrive_next(self):
        if self.now > self.seconds:
            return
        self.callers += 1
        spread = self.load_rng.lognormvariate(-(ANSWER_SPREAD**2) / 2, ANSWER_SPREAD)
        caller = Caller(
            number=self.callers,
            arrived_at=self.clock.time,
            tokens=PROFILE.typical_answer_tokens * spread,
        )
        self.ask(caller)
        self.at(self.load_rng.expovariate(self.rate(self.now)), self._arrive_next)

    def ask(self, caller):
        """Ask for a slot for an attempt of a caller."""
        now = self.clock.time
        caller.attempts += 1
        caller.host = self.rng.choice(self.hosts)
        self.count += 1
        number = self.count
        ends_at = caller.arrived_at + TIME_LIMIT
        first_event = 2 * PASS_SECONDS + 0.01
        caller.entry = QueueEntry(
            priority=1,
            objective_deadline=now + OBJECTIVE - first_event,
            queued_at=now,
            deadline=min(now + WAIT_SHARE * PATIENCE, ends_at),
            has_begun=caller.has_begun,
        )
        request = SlotRequest(
            service="engines",
            profile=PROFILE,
            model=MODEL,
            prompt_tokens=500.0,
            objective=OBJECTIVE,
            fingerprint=f"f{caller.number}",
            ends_at=ends_at,
        )
        caller.state = "asking"
        self.waiting[caller.host, number] = caller
        request_id = RequestId(node=caller.host, number=number)
        answer = self.dispatcher.request_slot(request_id, request, caller.entry)
        self.send_to(answer, (caller.host,))

    def send_to(self, answer, nodes):
        """Take an answer of the dispatcher to a host."""
        caller = self.waiting.get((nodes[0], answer.number))
        if caller is None:
            if answer.verdict is PlaceVerdict.GRANTED:
                self.grants[nodes[0]] = answer.grant_number
                self._report(nodes[0])
            return
        if answer.verdict is PlaceVerdict.WAITING:
            left = caller.entry.deadline - self.clock.time
            self.at(left, self._end_wait, (nodes[0], answer.number))
            return
        del self.waiting[nodes[0], answer.number]
        if answer.verdict is PlaceVerdict.GRANTED:
            self.grants[nodes[0]] = answer.grant_number
            self._send(caller, (answer.group, answer.epoch))
            return
        self._refuse(
            caller,
            answer.retry_after or jittered_retry_after(answer.wait, self.rng.random()),
        )

    def _end_wait(self, key):
        caller = self.waiting.pop(key, None)
        if caller is not None:
            self.result.ends["wait ended"] += 1
            after = jittered_retry_after(NO_GROUP_RETRY_SECONDS, self.rng.random())
            self._refuse(caller, after)

    def _refuse(self, caller, after):
        now = self.clock.time
        patience = caller.entry.deadline - now
        self.result.refusals.append((self.now, patience, caller.number))
        self.result.ends["refusals"] += 1
        left = caller.arrived_at + TIME_LIMIT - now
        if caller.attempts > 1 or caller.sends:
            self.result.ends["lost"] += 1
            return
        after = min(after, left / 3)
        self.result.returns.append((self.now + after, caller.number))
        self.at(after, self.ask, caller)

    # -- engines -------------------------------------------------------------

    def _send(self, caller, key):
        caller.group = key
        caller.sends += 1
        self.loads[caller.host][key] += 1
        self._report(caller.host)
        if key not in self.engines:
            self.at(0.0, self._break, caller)
            return
        running, queued = self.engines[key]
        if len(running) >= PROFILE.slots:
            queued.append(caller)
        else:
            self._begin(caller)

    def _begin(self, caller):
        self.engines[caller.group][0].add(caller)
        sends = caller.sends
        self.at(2 * PASS_SECONDS + 0.01, self._first_event, caller, sends)
        hold = caller.tokens / PROFILE.stride * PASS_SECONDS + 0.01
        self.at(max(hold, 0.1), self._end, caller, sends)

    def _first_event(self, caller, sends):
        if caller.sends != sends or caller.has_begun:
            return
        caller.has_begun = True
        is_late = self.clock.time > caller.arrived_at + OBJECTIVE
        caller.state = "late" if is_late else "on time"

    def _end(self, caller, sends):
        if caller.sends != sends:
            return
        self.result.ends[caller.state] += 1
        running, queued = self.engines[caller.group]
        running.discard(caller)
        if queued:
            self._begin(queued.popleft())
        self._leave(caller)

    def _leave(self, caller):
        self.loads[caller.host][caller.group] -= 1
        self._report(caller.host)
        self.dispatcher.wake()
        self._record_idle()

    def _break(self, caller):
        """Move a stream whose group has died to another group."""
        state = caller.state
        self._leave(caller)
        self.ask(caller)
        if caller.has_begun:
            caller.state = state

    def _record_idle(self):
        queued = any(len(q) for q in self.dispatcher._queues.values())
        full = all(len(r) >= PROFILE.slots for r, _ in self.engines.values())
        if not queued and not full:
            self.result.idle_at.append(self.now)

    def _report(self, host):
        loads = {k: (n, 0.0) for k, n in self.loads[host].items() if n > 0}
        self.rig.directory.loads.record_peer_loads(host, loads, self.grants[host])

    def _heartbeat(self):
        for host in self.hosts:
            self._report(host)
        self.dispatcher.wake()
        if self.now < self.seconds + TIME_LIMIT:
            self.at(0.1, self._heartbeat)

    # -- groups --------------------------------------------------------------

    async def change(self, targets, removed=()):
        """Change the list of targets."""
        self.revision += 1
        self.targets = {k: t for k, t in self.targets.items() if k not in removed}
        self.targets |= {t.id: t for t in targets}
        listed = listing(*self.targets.values(), revision=self.revision)
        self.rig.source.listed.append(listed)
        await self.rig.directory.refresh()

    async def lose(self, names):
        """End all engines of some groups; their streams resume elsewhere."""
        broken = []
        for name in names:
            running, queued = self.engines.pop((name, 1))
            broken += [*running, *queued]
        removed = [t.id for name in names for t in open_group(name)]
        await self.change((), removed)
        for caller in broken:
            caller.sends += 1
            self._break(caller)

    async def form(self, name, phase):
        """Show a group with new processes in a phase."""
        more = {"born": 1, "staged": ("m",)}
        await self.change(
            [
                member(f"{name}0", name, 0, phase, **more),
                member(f"{name}1", name, 1, phase, **more),
            ]
        )
        if phase is GroupPhase.OPEN:
            self.engines[name, 1] = [set(), deque()]


def usual_rate(groups):
    """Return arrivals per second that use 78 percent of the slots."""
    hold = PROFILE.typical_answer_tokens / PROFILE.stride * PASS_SECONDS
    return 0.78 * groups * PROFILE.slots / hold


async def replay_burst(*, contested, seed=1, groups=12, factor=1.7, burst=4.0):
    """Replay a burst from 3 s on."""
    names = [f"g{n}" for n in range(groups)]
    rig = await make_rig(*names)
    usual = usual_rate(groups)

    def rate(now):
        return usual * (factor if 3.0 <= now < 3.0 + burst else 1.0)

    replay = Replay(
        rig, contested=contested, groups=names, rate=rate, seconds=13.0, seed=seed
    )
    return await replay.run()


async def replay_lost_centre(*, contested, seed=1, groups=12):
    """Replay the loss of a third of the groups, which form again 2 to 4 s later."""
    names = [f"g{n}" for n in range(groups)]
    rig = await make_rig(*names)
    usual = usual_rate(groups)
    replay = Replay(
        rig,
        contested=contested,
        groups=names,
        rate=lambda now: usual,
        seconds=13.0,
        seed=seed,
    )
    lost = names[: groups // 3]
    replay.at(3.0, replay.lose, lost)
    for number, name in enumerate(lost):
        ready_at = 5.0 + 2.0 * (number + 1) / len(lost)
        fresh = f"n{name}"
        replay.at(ready_at - 1.1, replay.form, fresh, GroupPhase.JOINING)
        replay.at(ready_at, replay.form, fresh, GroupPhase.OPEN)
    return await replay.run()


async def replay_overload(*, contested, seed=1, groups=12):
    """Replay arrivals that ask for 1.1 times the slots from 3 s to 23 s."""
    names = [f"g{n}" for n in range(groups)]
    rig = await make_rig(*names)
    usual = usual_rate(groups)

    def rate(now):
        return usual / 0.78 * 1.1 if 3.0 <= now < 23.0 else usual

    replay = Replay(
        rig, contested=contested, groups=names, rate=rate, seconds=25.0, seed=seed
    )
    return await replay.run()
