"""Settings from the platform's template, and their reload."""

import json
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest
import structlog

from mallowpond.node.settings import NodeBounds, NodeSettings
from mallowpond.platform import program
from mallowpond.platform.early_listener import SETTINGS_VARIABLE
from mallowpond.platform.features import apply_guarantees
from mallowpond.protocol.declaration_file import Faults
from mallowpond.settings import load_settings, parse_settings

TEMPLATE = Path(__file__).parents[3] / "deploy" / "node.toml.template"
TEMPLATE_VALUES = {
    "node_name": "front-1",
    "zone": "hall-a",
    "ip": "10.1.0.40",
    "listen.front": "10.1.0.40:8227",
    "listen.ready": "10.1.0.40:8220",
    "port_range.0": 7340,
    "platform.address": "10.200.1.7:8223",
    "bootstrap": True,
    "contracts": ["audit"],
    "bounds.config_apply_ms": 2000,
    "bounds.revoke_ms": 5000,
    "bounds.rollback_slack_ms": 250,
    "bounds.grace_s": 8,
    "bounds.stall_ms": 4000,
    "bounds.enforce_fencing": True,
    "bounds.budget_ratio": 0.2,
    "bounds.budget_window_s": 10,
    "bounds.budget_slack": 132,
}


def filled(**more):
    """Fill in the template by the platform's rules."""
    given = TEMPLATE_VALUES | {
        name.replace("__", "."): value for name, value in more.items()
    }

    def value(match):
        name, as_json = match.groups()
        found = given[name]
        return json.dumps(found) if as_json else str(found)

    def section(match):
        return match.group(2) if given.get(match.group(1)) else ""

    text = TEMPLATE.read_text(encoding="utf-8")
    text = re.sub(r"\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", value, text)


def test_the_template_gives_settings_in_seconds():
    settings = parse_settings(filled(), NodeSettings)
    assert not isinstance(settings, Faults), settings
    assert (settings.name, settings.peer_port) == ("front-1", 7340)
    assert settings.first_start
    assert settings.planning.rebalance
    assert settings.planning.regroup_slow
    assert settings.bounds == NodeBounds(
        apply=2.0,
        revoke=5.0,
        rollback_slack=0.25,
        grace=8,
        stall=4.0,
        checks_fencing=True,
        retry_ratio=0.2,
        retry_window=10,
        retry_slack=132,
    )


def test_a_host_knows_how_much_processor_time_it_has():
    settings = parse_settings(
        filled(limits__cpu_share=0.537, limits__cores=2), NodeSettings
    )
    assert settings.cores == pytest.approx(1.074)


def test_a_platform_that_tells_no_limits_gives_one_core():
    assert parse_settings(filled(), NodeSettings).cores == 1.0


@pytest.mark.parametrize(("memory", "descriptors"), [(300, 4100), (152.5, 2870)])
def test_a_host_knows_its_memory_and_descriptors(memory, descriptors):
    """Guards against limits of a host that are not those of its deployment."""
    text = filled(limits__memory_mb=memory, limits__max_fds=descriptors)
    settings = parse_settings(text, NodeSettings)
    assert (settings.memory_mb, settings.descriptors) == (memory, descriptors)


@pytest.mark.parametrize(
    ("words", "contested"), [([], False), (["audit"], False), (["a", "pressure"], True)]
)
def test_contested_slots_follow_the_guarantees(words, contested):
    """Admission by forecast must not start where the platform does not call for it."""
    settings = parse_settings(filled(contracts=words), NodeSettings)
    assert not settings.contested_slots
    assert apply_guarantees(settings).contested_slots is contested


@pytest.mark.parametrize("words", [[], ["audit"], ["a", "tenants"]])
def test_keys_are_checked_where_callers_have_them(words):
    """Guards against headers of callers that are taken for keys where none exist."""
    settings = parse_settings(filled(contracts=words), NodeSettings)
    assert apply_guarantees(settings).checks_keys is ("tenants" in words)


def test_a_platform_that_bounds_cold_targets_gives_both_values():
    """Guards against a bound that a platform gives and that is not in force."""
    text = filled(bounds__cold_over=1.5, bounds__cold_slack=3)
    bounds = parse_settings(text, NodeSettings).bounds
    assert (bounds.cold_ratio, bounds.cold_slack) == (1.5, 3)
    bounds = parse_settings(filled(bounds__cold_over=2), NodeSettings).bounds
    assert (bounds.cold_ratio, bounds.cold_slack) == (2, 0)
    assert parse_settings(filled(), NodeSettings).bounds.cold_ratio == 0.0


def test_a_field_that_is_not_ours_is_a_fault():
    assert isinstance(parse_settings(filled() + "\nodd = 1\n", NodeSettings), Faults)


@pytest.mark.parametrize("invalid_text", ["", "name =", "name = 1\n"])
def test_a_bad_file_changes_nothing_and_is_told_of(tmp_path, monkeypatch, invalid_text):
    """A reload of an invalid settings file must change nothing, and must be logged.

    A node stopped, or ran with half of its settings, because it applied the file before
    all of it was validated.
    """
    path = tmp_path / "settings.toml"
    path.write_text(filled(), encoding="utf-8")
    running = load_settings(path, NodeSettings)
    path.write_text(invalid_text, encoding="utf-8")
    applied = []
    monkeypatch.setattr(program, "set_up_node_logs", lambda *_: applied.append(1))
    with structlog.testing.capture_logs() as logs:
        program._reload(path, running)
    assert applied == []
    assert [line["event"] for line in logs] == ["node: reload refused"]
    assert logs[0]["faults"]


def test_a_changed_file_is_told_of(tmp_path, monkeypatch):
    path = tmp_path / "settings.toml"
    path.write_text(filled(), encoding="utf-8")
    running = load_settings(path, NodeSettings)
    path.write_text(filled() + '\n[log]\nlevel = "warning"\n', encoding="utf-8")
    monkeypatch.setattr(program, "set_up_node_logs", lambda *_: None)
    with structlog.testing.capture_logs() as logs:
        program._reload(path, running)
    assert logs[0]["event"] == "node: reloaded"
    assert logs[0]["changed"] == ["log"]


def test_a_node_collects_garbage_after_its_imports(tmp_path):
    """Guards against a node that runs with collection off, as during its imports.

    Its memory would grow by each reference cycle until the host runs out.
    """
    code = (
        "import asyncio, gc, sys\n"
        "def run(node):\n"
        "    node.close()\n"
        "    print(gc.isenabled(), gc.get_threshold())\n"
        "asyncio.run = run\n"
        "sys.argv[1:] = ['node']\n"
        "import runpy; runpy.run_module('mallowpond', run_name='__main__')\n"
    )
    path = tmp_path / "settings.toml"
    path.write_text(filled(listen__front="127.0.0.1:0"), encoding="utf-8")
    found = subprocess.run(
        [sys.executable, "-c", code],
        cwd=TEMPLATE.parents[1],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
        text=True,
        check=True,
        timeout=60,
    )
    assert found.stdout == f"True {program.GC_THRESHOLDS}\n"
