"""Configuration: everywhere or not at all, and never back."""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mallowpond.coordination.configuration import ProposalRefused, Proposed
from mallowpond.coordination.tests.fakes import (
    ABORT,
    ASSURANCE,
    FakeClock,
    configuration_text,
    make_controller,
    settle,
)
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.assurance import Assured, NotAssured, Source

TEXT = configuration_text()


async def three_nodes():
    table, clock = MemoryTable(), FakeClock()
    nodes = [make_controller(name, table, clock) for name in "abc"]
    await settle(*nodes)
    assert nodes[0].membership.cell.value.members == ("a", "b", "c")
    return table, clock, nodes


def exchange(*nodes):
    """Let each node ask each other once."""
    for asker in nodes:
        for peer in nodes:
            if peer is not asker:
                asker.ask(peer)


async def propose(node, expect=0, text=TEXT):
    return await node.configuration.propose(
        text=text, expect_version=expect, author=node.name
    )


def versions(nodes):
    return [n.configuration.applied.version for n in nodes]


async def test_change_takes_effect_on_every_node():
    _, _, nodes = await three_nodes()
    assert isinstance(await propose(nodes[0]), Proposed)
    await settle(*nodes, seconds=1.5)
    assert versions(nodes) == [1, 1, 1]


async def test_of_two_racing_operators_one_wins_and_the_other_is_told():
    """
    Symptom: an operator's change is silently undone.
    Events: two operators propose on top of the same version through two controllers.
    Cause: without one open proposal, checked in the transaction, the later one wins.
    """
    _, _, nodes = await three_nodes()
    first = await propose(nodes[0])
    second = await propose(nodes[1])
    assert isinstance(first, Proposed)
    assert second.reason == "lost_race"
    await settle(*nodes, seconds=1.5)
    late = await propose(nodes[1], expect=0)
    assert late.reason == "version_moved"


async def test_lost_answer_to_the_proposal_is_settled_by_reading():
    _, _, nodes = await three_nodes()
    nodes[0].line.lose_answers = 1
    assert isinstance(await propose(nodes[0]), Proposed)


@pytest.mark.parametrize("steps_before_death", [0, 1, 2, 3])
async def test_dead_proposers_change_is_finished_by_others(steps_before_death):
    """
    Symptom: no change can be made any more, or half the nodes hold a new version.
    Events: the proposer dies after proposing, preparing or while accepting.
    Cause: if only the proposer drove its proposal, it would stay open for ever.
    """
    _, clock, nodes = await three_nodes()
    await propose(nodes[0])
    for _ in range(steps_before_death):
        await nodes[0].step()
    alive = nodes[1:]
    await settle(*alive, seconds=ABORT + 2)
    assert versions(alive) == [1, 1]
    assert nodes[1].configuration.open_proposal is None


async def test_change_without_a_majority_is_aborted_and_leaves_no_trace():
    table, clock, nodes = await three_nodes()
    await propose(nodes[0])
    nodes[1].line.cut = nodes[2].line.cut = True
    # The two are cut off right away, so the cell cannot move its epoch either.
    await settle(nodes[0], seconds=ABORT + 2)
    assert nodes[0].configuration.open_proposal is None
    assert versions(nodes) == [0, 0, 0]


async def test_member_frozen_over_the_acceptance_refuses_until_it_has_read():
    """
    Symptom: a node serves on a version that was replaced.
    Events: a member freezes, a change is accepted, the member wakes.
    Cause: its knowledge is older than the limit, counted on its own clock.
    """
    _, clock, nodes = await three_nodes()
    frozen, alive = nodes[0], nodes[1:]
    await propose(alive[0])
    await settle(*alive, seconds=ASSURANCE + 1)
    assert versions(alive) == [1, 1]
    assert isinstance(frozen.configuration.assurance(), NotAssured)
    await frozen.step()
    assert frozen.configuration.assurance().version == 1


async def test_service_goes_on_through_a_long_outage_of_the_table():
    table, clock, nodes = await three_nodes()
    for node in nodes:
        node.line.cut = True
    for _ in range(600):
        clock.time += 1.0
        exchange(*nodes)
    for node in nodes:
        verdict = node.configuration.assurance()
        assert isinstance(verdict, Assured)
        assert verdict.source is Source.CELL_MAJORITY


async def test_table_that_goes_dark_while_a_member_is_counted_stops_nobody():
    """
    Symptom: every gateway refuses for as long as the table is dark.
    Events: a member joins; one node reads the new epoch; the table goes dark.
    Cause: the others stayed an epoch behind and agreed with nobody.
    """
    table, clock, nodes = await three_nodes()
    fourth = make_controller("d", table, clock)
    while nodes[0].membership.epoch < 4:
        await settle(fourth, nodes[0], seconds=0.5)
    assert nodes[1].membership.epoch < 4
    everyone = [*nodes, fourth]
    for node in everyone:
        node.line.cut = True
    clock.time += ASSURANCE + 1
    exchange(*everyone)
    exchange(*everyone)
    verdicts = [n.configuration.assurance() for n in everyone]
    assert all(isinstance(v, Assured) for v in verdicts)


async def test_node_cut_from_table_and_peers_refuses():
    _, clock, nodes = await three_nodes()
    nodes[0].line.cut = True
    clock.time += ASSURANCE + 0.1
    exchange(*nodes[1:])
    assert isinstance(nodes[0].configuration.assurance(), NotAssured)


async def test_majority_without_the_table_takes_the_minoritys_word():
    """
    Symptom: the majority outvotes the one member that has read a newer version.
    Events: two of three lose the table; the third reads on and applies a change.
    Cause: a majority may speak only for a table that is dark for all.
    """
    _, clock, nodes = await three_nodes()
    await propose(nodes[2])
    await settle(*nodes, seconds=0.5)
    nodes[0].line.cut = nodes[1].line.cut = True
    for _ in range(20):
        clock.time += 0.5
        await nodes[2].step()
        exchange(*nodes)
    newest = nodes[2].configuration.applied.version
    for node in nodes:
        verdict = node.configuration.assurance()
        if isinstance(verdict, Assured):
            assert verdict.version == newest


async def test_outage_between_prepare_and_accept_makes_nobody_vouch():
    _, clock, nodes = await three_nodes()
    await propose(nodes[0])
    for node in nodes:
        asked_at = clock.now()
        await node.shared.refresh()
        node.configuration.after_read(asked_at)
        node.line.cut = True
    clock.time += ASSURANCE + 1
    exchange(*nodes)
    verdicts = [n.configuration.assurance() for n in nodes]
    assert all(isinstance(v, NotAssured) for v in verdicts)


async def test_restarted_member_vouches_for_nothing_before_it_has_read():
    table, clock, nodes = await three_nodes()
    reborn = make_controller("b", table, clock, incarnation="2")
    nodes[0].line.cut = nodes[2].line.cut = True
    clock.time += ASSURANCE + 1
    nodes[0].configuration.record_peer_answer(reborn.vouch(clock.now()))
    assert isinstance(nodes[0].configuration.assurance(), NotAssured)


async def test_bad_text_is_prepared_by_nobody():
    _, _, nodes = await three_nodes()
    await propose(nodes[0], text='{"source": "[[deployments]]"}')
    await settle(*nodes, seconds=ABORT + 2)
    assert versions(nodes) == [0, 0, 0]
    assert nodes[0].configuration.open_proposal is None


async def test_refused_proposal_names_the_version_in_force():
    _, _, nodes = await three_nodes()
    refused = await propose(nodes[0], expect=5)
    assert isinstance(refused, ProposalRefused)
    assert "version 0 is in force" in refused.detail


class ConfigurationMachine(RuleBasedStateMachine):
    """Explore nodes that lose the table, freeze, restart, are replaced and ask peers.

    The promise: a node that is assured of a version knows every version that was
    accepted more than the assurance time ago.
    """

    def __init__(self):
        super().__init__()
        self.table, self.clock = MemoryTable(), FakeClock()
        self.nodes = {n: make_controller(n, self.table, self.clock) for n in "abc"}
        self.incarnations = dict.fromkeys("abcd", 1)
        self.accepted = []
        self.expect = 0
        self.loop = asyncio.new_event_loop()
        self.run(settle(*self.nodes.values()))

    def run(self, work):
        result = self.loop.run_until_complete(work)
        self.note_accepted()
        return result

    def note_accepted(self):
        row = self.table._rows.get("shared/config/head")
        version = row.value["version"] if row else 0
        if version > len(self.accepted):
            self.accepted.append(self.clock.now())

    def teardown(self):
        self.loop.close()

    names = st.sampled_from("abc")

    @rule(name=names)
    def step(self, name):
        self.run(self.nodes[name].step())

    @rule(name=names)
    def read_only(self, name):
        """A node reads and freezes before it writes anything."""
        node = self.nodes[name]

        async def read():
            asked_at = self.clock.now()
            if await node.shared.refresh() and await node.membership.refresh():
                node.configuration.after_read(asked_at)

        self.run(read())

    @rule(name=names)
    def propose(self, name):
        self.run(propose(self.nodes[name], expect=len(self.accepted)))

    @rule(name=names, cut=st.booleans())
    def cut(self, name, cut):
        self.nodes[name].line.cut = cut

    @rule(asker=names, peer=names, delay=st.sampled_from([0.0, 1.0, 3.0]))
    def ask(self, asker, peer, delay):
        if asker == peer:
            return
        self.nodes[asker].ask(self.nodes[peer], delay)

    @rule(name=names)
    def restart(self, name):
        self.incarnations[name] += 1
        incarnation = str(self.incarnations[name])
        cut = self.nodes[name].line.cut
        self.nodes[name] = make_controller(
            name, self.table, self.clock, incarnation=incarnation
        )
        self.nodes[name].line.cut = cut

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 12.0]))
    def wait(self, seconds):
        self.clock.time += seconds

    @rule()
    def everyone_steps(self):
        self.run(settle(*self.nodes.values(), seconds=1.0))

    @invariant()
    def assured_nodes_know_what_was_accepted(self):
        now = self.clock.now()
        due = sum(now - at > ASSURANCE for at in self.accepted)
        for node in self.nodes.values():
            verdict = node.configuration.assurance()
            if isinstance(verdict, Assured):
                assert verdict.version >= due, (node.name, verdict, self.accepted)


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
