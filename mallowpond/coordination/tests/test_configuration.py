"""A configuration change takes effect on all controllers or none, never backwards."""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mallowpond.coordination.configuration import ProposalRefused, Proposed
from mallowpond.coordination.tests.fakes import (
    ABORT_SECONDS,
    ASSURANCE_SECONDS,
    FakeClock,
    configuration_text,
    make_controller,
    step_all,
)
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.assurance import Assured, NotAssured, Source

TEXT = configuration_text()


async def three_controllers():
    table, clock = MemoryTable(), FakeClock()
    controllers = [make_controller(name, table, clock) for name in "abc"]
    await step_all(*controllers)
    assert controllers[0].membership.cell.value.members == ("a", "b", "c")
    return table, clock, controllers


def query_each_other(*controllers):
    """Let each controller query each other once."""
    for asker in controllers:
        for peer in controllers:
            if peer is not asker:
                asker.ask(peer)


async def propose(controller, expect=0, text=TEXT):
    return await controller.configuration.propose(
        text=text, expect_version=expect, author=controller.name
    )


def versions(controllers):
    return [n.configuration.applied.version for n in controllers]


async def test_change_takes_effect_on_every_node():
    _, _, controllers = await three_controllers()
    assert isinstance(await propose(controllers[0]), Proposed)
    await step_all(*controllers, seconds=1.5)
    assert versions(controllers) == [1, 1, 1]


async def test_of_two_racing_operators_one_wins_and_the_other_is_told():
    """An operator's change must not be undone silently.

    Two operators propose on top of the same version through two controllers. Unless the
    transaction checks that no proposal is open, the later one overwrites the earlier.
    """
    _, _, controllers = await three_controllers()
    first = await propose(controllers[0])
    second = await propose(controllers[1])
    assert isinstance(first, Proposed)
    assert second.reason == "lost_race"
    await step_all(*controllers, seconds=1.5)
    late = await propose(controllers[1], expect=0)
    assert late.reason == "version_moved"


async def test_lost_answer_to_the_proposal_is_settled_by_reading():
    _, _, controllers = await three_controllers()
    controllers[0].table_link.lose_answers = 1
    assert isinstance(await propose(controllers[0]), Proposed)


@pytest.mark.parametrize("steps_before_death", [0, 1, 2, 3])
async def test_dead_proposers_change_is_finished_by_others(steps_before_death):
    """A proposal whose proposer crashed must not stay open.

    The proposer crashes after proposing, after preparing or while accepting. If only
    the proposer could finish it, no further change could be made, or half of the
    controllers would keep a new version.
    """
    _, clock, controllers = await three_controllers()
    await propose(controllers[0])
    for _ in range(steps_before_death):
        await controllers[0].step()
    alive = controllers[1:]
    await step_all(*alive, seconds=ABORT_SECONDS + 2)
    assert versions(alive) == [1, 1]
    assert controllers[1].configuration.open_proposal is None


async def test_change_without_a_majority_is_aborted_and_leaves_no_trace():
    table, clock, controllers = await three_controllers()
    await propose(controllers[0])
    controllers[1].table_link.cut = controllers[2].table_link.cut = True
    # The two are cut off at once, so the cell cannot advance its epoch either.
    await step_all(controllers[0], seconds=ABORT_SECONDS + 2)
    assert controllers[0].configuration.open_proposal is None
    assert versions(controllers) == [0, 0, 0]


async def test_member_frozen_over_the_acceptance_refuses_until_it_has_read():
    """A controller must not serve on a version that was replaced.

    A member is paused, a change is accepted, and the member resumes. By its own clock,
    its last read is then older than the assurance limit.
    """
    _, clock, controllers = await three_controllers()
    paused, alive = controllers[0], controllers[1:]
    await propose(alive[0])
    await step_all(*alive, seconds=ASSURANCE_SECONDS + 1)
    assert versions(alive) == [1, 1]
    assert isinstance(paused.configuration.assurance(), NotAssured)
    await paused.step()
    assert paused.configuration.assurance().version == 1


async def test_service_goes_on_through_a_long_outage_of_the_table():
    table, clock, controllers = await three_controllers()
    for controller in controllers:
        controller.table_link.cut = True
    for _ in range(600):
        clock.time += 1.0
        query_each_other(*controllers)
    for controller in controllers:
        verdict = controller.configuration.assurance()
        assert isinstance(verdict, Assured)
        assert verdict.source is Source.CELL_MAJORITY


async def test_table_that_goes_dark_while_a_member_is_counted_stops_nobody():
    """Gateways must not refuse requests for as long as the table is unreachable.

    A member joins, one controller reads the new epoch, and the table becomes
    unreachable. The others are an epoch behind and would agree with no peer.
    """
    table, clock, controllers = await three_controllers()
    fourth = make_controller("d", table, clock)
    while controllers[0].membership.epoch < 4:
        await step_all(fourth, controllers[0], seconds=0.5)
    assert controllers[1].membership.epoch < 4
    all_controllers = [*controllers, fourth]
    for controller in all_controllers:
        controller.table_link.cut = True
    clock.time += ASSURANCE_SECONDS + 1
    query_each_other(*all_controllers)
    query_each_other(*all_controllers)
    verdicts = [n.configuration.assurance() for n in all_controllers]
    assert all(isinstance(v, Assured) for v in verdicts)


async def test_node_cut_from_table_and_peers_refuses():
    _, clock, controllers = await three_controllers()
    controllers[0].table_link.cut = True
    clock.time += ASSURANCE_SECONDS + 0.1
    query_each_other(*controllers[1:])
    assert isinstance(controllers[0].configuration.assurance(), NotAssured)


async def test_majority_without_the_table_takes_the_minoritys_word():
    """A majority must not outvote the one member that has read a newer version.

    Two of three members lose the table; the third still reads it and applies a change.
    A majority may confirm a version only while no member can read the table.
    """
    _, clock, controllers = await three_controllers()
    await propose(controllers[2])
    await step_all(*controllers, seconds=0.5)
    controllers[0].table_link.cut = controllers[1].table_link.cut = True
    for _ in range(20):
        clock.time += 0.5
        await controllers[2].step()
        query_each_other(*controllers)
    newest = controllers[2].configuration.applied.version
    for controller in controllers:
        verdict = controller.configuration.assurance()
        if isinstance(verdict, Assured):
            assert verdict.version == newest


async def test_outage_between_prepare_and_accept_makes_nobody_vouch():
    _, clock, controllers = await three_controllers()
    await propose(controllers[0])
    for controller in controllers:
        asked_at = clock.now()
        await controller.shared.refresh()
        controller.configuration.after_read(asked_at)
        controller.table_link.cut = True
    clock.time += ASSURANCE_SECONDS + 1
    query_each_other(*controllers)
    verdicts = [n.configuration.assurance() for n in controllers]
    assert all(isinstance(v, NotAssured) for v in verdicts)


async def test_restarted_member_vouches_for_nothing_before_it_has_read():
    table, clock, controllers = await three_controllers()
    restarted = make_controller("b", table, clock, incarnation="2")
    controllers[0].table_link.cut = controllers[2].table_link.cut = True
    clock.time += ASSURANCE_SECONDS + 1
    controllers[0].configuration.record_peer_answer(
        restarted.make_peer_answer(clock.now())
    )
    assert isinstance(controllers[0].configuration.assurance(), NotAssured)


async def test_bad_text_is_prepared_by_nobody():
    _, _, controllers = await three_controllers()
    await propose(controllers[0], text='{"source": "[[deployments]]"}')
    await step_all(*controllers, seconds=ABORT_SECONDS + 2)
    assert versions(controllers) == [0, 0, 0]
    assert controllers[0].configuration.open_proposal is None


async def test_refused_proposal_names_the_version_in_force():
    _, _, controllers = await three_controllers()
    refused = await propose(controllers[0], expect=5)
    assert isinstance(refused, ProposalRefused)
    assert "version 0 is in force" in refused.detail


class ConfigurationMachine(RuleBasedStateMachine):
    """Controllers lose the table, pause, restart, are replaced and query peers.

    The invariant: a controller that is assured of a version knows every version that
    was accepted longer ago than the assurance time.
    """

    def __init__(self):
        super().__init__()
        self.table, self.clock = MemoryTable(), FakeClock()
        self.controllers = {
            n: make_controller(n, self.table, self.clock) for n in "abc"
        }
        self.incarnations = dict.fromkeys("abcd", 1)
        self.accepted = []
        self.expect = 0
        self.loop = asyncio.new_event_loop()
        self.run(step_all(*self.controllers.values()))

    def run(self, coroutine):
        result = self.loop.run_until_complete(coroutine)
        self.record_accepted()
        return result

    def record_accepted(self):
        row = self.table._rows.get("shared/config/head")
        version = row.value["version"] if row else 0
        if version > len(self.accepted):
            self.accepted.append(self.clock.now())

    def teardown(self):
        self.loop.close()

    names = st.sampled_from("abc")

    @rule(name=names)
    def step(self, name):
        self.run(self.controllers[name].step())

    @rule(name=names)
    def read_only(self, name):
        """A controller reads, and pauses before it writes anything."""
        controller = self.controllers[name]

        async def read():
            asked_at = self.clock.now()
            if (
                await controller.shared.refresh()
                and await controller.membership.refresh()
            ):
                controller.configuration.after_read(asked_at)

        self.run(read())

    @rule(name=names)
    def propose(self, name):
        self.run(propose(self.controllers[name], expect=len(self.accepted)))

    @rule(name=names, cut=st.booleans())
    def cut(self, name, cut):
        self.controllers[name].table_link.cut = cut

    @rule(asker=names, peer=names, delay=st.sampled_from([0.0, 1.0, 3.0]))
    def ask(self, asker, peer, delay):
        if asker == peer:
            return
        self.controllers[asker].ask(self.controllers[peer], delay)

    @rule(name=names)
    def restart(self, name):
        self.incarnations[name] += 1
        incarnation = str(self.incarnations[name])
        cut = self.controllers[name].table_link.cut
        self.controllers[name] = make_controller(
            name, self.table, self.clock, incarnation=incarnation
        )
        self.controllers[name].table_link.cut = cut

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 12.0]))
    def wait(self, seconds):
        self.clock.time += seconds

    @rule()
    def everyone_steps(self):
        self.run(step_all(*self.controllers.values(), seconds=1.0))

    @invariant()
    def assured_nodes_know_what_was_accepted(self):
        now = self.clock.now()
        due = sum(now - at > ASSURANCE_SECONDS for at in self.accepted)
        for controller in self.controllers.values():
            verdict = controller.configuration.assurance()
            if isinstance(verdict, Assured):
                assert verdict.version >= due, (controller.name, verdict, self.accepted)


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
