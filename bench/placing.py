"""Simulate the slot assignment of streams with and without a dispatcher."""

import logging
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

import structlog

from bench.report import Report
from mallowpond.emulator.placing import simulate
from mallowpond.emulator.scenario import Scenario, SimulationResult

PROCESSES = 4
SEEDS = 4
# `tight`: the load is close to the capacity of the groups. `hosts start anew`: all
# hosts stop at once and start again.
SCENARIOS = (
    Scenario(name="tight, 7 hosts", hosts=7, groups=6, rate=44.0),
    Scenario(name="tight, 18 hosts", hosts=18, groups=6, rate=44.0),
    Scenario(name="tight, 74 hosts", hosts=74, groups=32, rate=222.0),
    Scenario(name="tight, 195 hosts", hosts=195, groups=66, rate=418.0),
    Scenario(name="tight, 380 hosts", hosts=380, groups=130, rate=820.0),
    Scenario(
        name="groups replaced",
        hosts=74,
        groups=36,
        rate=222.0,
        replacement_interval=0.5,
    ),
    Scenario(name="hosts start anew", hosts=74, groups=40, rate=230.0, restart_at=4.0),
    Scenario(name="overload, 7 hosts", hosts=7, groups=4, rate=44.0),
    Scenario(name="overload, 18 hosts", hosts=18, groups=5, rate=57.0),
    Scenario(name="overload, 74 hosts", hosts=74, groups=18, rate=222.0),
)


def _simulate(scenario: Scenario, seed: int) -> SimulationResult:
    silent = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=silent)
    return simulate(scenario, seed)


def run(smallest: bool = False) -> list[Report]:
    """Compare slot assignment by load reports and by a dispatcher on the same seeds.

    smallest: simulate a few seconds of one scenario with one seed.
    """
    scenarios = SCENARIOS[:1] if smallest else SCENARIOS
    if smallest:
        scenarios = tuple(replace(scenario, seconds=4.0) for scenario in scenarios)
    seeds = range(1 if smallest else SEEDS)
    with ProcessPoolExecutor(PROCESSES) as pool:
        futures = {
            (scenario.name, uses_dispatcher, seed): pool.submit(
                _simulate, replace(scenario, uses_dispatcher=uses_dispatcher), seed
            )
            for scenario in scenarios
            for uses_dispatcher in (False, True)
            for seed in seeds
        }
        rows = [
            _row(
                scenario.name,
                uses_dispatcher,
                [
                    futures[scenario.name, uses_dispatcher, seed].result()
                    for seed in seeds
                ],
            )
            for scenario in scenarios
            for uses_dispatcher in (False, True)
        ]
    # load: name of the scenario. places: how streams get slots, by a dispatcher
    # ("counted") or by load reports ("by news"). beyond: stream-seconds in excess of
    # the slots, per simulation ("a play" in the note). beside: the part of them for
    # which other groups had free slots, and which could so be avoided.
    columns = ("load", "places", "streams", "late", "unserved", "beyond", "beside")
    notes = (
        f"{len(seeds)} seeds; late and unserved in percent of the streams",
        "beyond, beside: stream-seconds a play beyond the slots, and beside free ones",
    )
    report = Report(
        title="Placing of streams", columns=columns, rows=tuple(rows), notes=notes
    )
    return [report]


def _row(
    name: str, uses_dispatcher: bool, results: list[SimulationResult]
) -> tuple[str | int | float, ...]:
    streams = sum(result.streams for result in results)
    return (
        name,
        "counted" if uses_dispatcher else "by news",
        streams,
        round(100 * sum(result.late for result in results) / streams, 2),
        round(100 * sum(result.unserved for result in results) / streams, 2),
        round(sum(result.excess_seconds for result in results) / len(results), 1),
        round(
            sum(result.avoidable_excess_seconds for result in results) / len(results), 1
        ),
    )
