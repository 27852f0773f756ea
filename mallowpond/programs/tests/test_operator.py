"""The operator's interface: checks, queries, commands, exit codes."""

import pytest
from typer.testing import CliRunner

from mallowpond.gateway.tests.callers import DECLARATION, ask, send, serving_site
from mallowpond.programs import operator_commands
from mallowpond.programs.cli import app
from mallowpond.programs.operator_commands import Done, OperatorRefused

runner = CliRunner()


async def run_statement(site, statement, controller=0):
    address = site.controllers[controller].operator_address
    return await operator_commands.run_statement(address, statement)


def column(reply, name):
    index = reply.document["columns"].index(name)
    return [row[index] for row in reply.document["rows"]]


async def test_queries_tell_what_runs_where():
    async with serving_site() as site:
        groups = await run_statement(site, "show groups where deployment = meteor")
        assert column(groups, "state") == ["ready", "ready"]
        hosts = await run_statement(
            site, "show hosts where domain = fabric0 order by host"
        )
        assert column(hosts, "host") == ["engine0", "engine1"]
        for table in site.controllers[0].tables.names:
            reply = await run_statement(site, f"show {table}")
            assert isinstance(reply, Done), reply
            assert operator_commands.render(reply.document, as_json=False)


async def test_bad_statements_say_what_to_do():
    async with serving_site(groups=1) as site:
        wrong = await run_statement(site, "show gruops")
        assert wrong.reason == "unknown_table" and "groups" in wrong.detail
        wrong = await run_statement(site, "show groups where rack = 1")
        assert wrong.reason == "unknown_column" and "generation" in wrong.detail
        wrong = await run_statement(site, "shw")
        assert "column 1" in wrong.detail
        wrong = await run_statement(site, "drain host nowhere")
        assert wrong.reason == "unknown_name"


async def test_drained_host_leaves_its_group_and_comes_back():
    async with serving_site() as site:
        assert isinstance(await run_statement(site, "drain host engine0"), Done)
        controller = site.controllers[0]
        await site.until(
            lambda: all(
                "engine0" not in g.hosts for g in controller.groups.groups().values()
            )
        )
        assert (await ask(site)).status == 200
        # Applying the file again does not bring a drained host back.
        await site.apply(DECLARATION + "\n")
        assert controller.configuration.applied.declaration.drained_hosts
        assert isinstance(await run_statement(site, "restore host engine0"), Done)
        await site.until_serving("meteor", 2)


async def test_stale_version_is_refused(tmp_path):
    file = tmp_path / "declaration.toml"
    file.write_text(DECLARATION)
    async with serving_site(groups=1) as site:
        address = site.controllers[0].operator_address
        reply = await operator_commands.apply_file(address, file, 0, "op", quiet=True)
        assert isinstance(reply, OperatorRefused)
        assert reply.reason == "version_moved"
        reply = await operator_commands.apply_file(address, file, 1, "op", quiet=True)
        assert reply == Done(document={"version": 2})
        history = await run_statement(site, "show versions order by version desc")
        assert column(history, "version") == [2, 1]


def test_check_prints_every_fault_and_exits_1(tmp_path):
    file = tmp_path / "bad.toml"
    file.write_text('[[deployments]]\nname = "a"\n[[kinds]]\nnames = "b"\n')
    result = runner.invoke(app, ["check", str(file)])
    assert result.exit_code == 1
    assert "deployments[0]" in result.output and "kinds[0]" in result.output


def test_check_of_a_good_file_exits_0(tmp_path):
    file = tmp_path / "good.toml"
    file.write_text(DECLARATION)
    result = runner.invoke(app, ["check", str(file)])
    assert result.exit_code == 0
    assert "1 deployments, 2 workspaces" in result.output


def test_unreachable_controller_exits_3():
    result = runner.invoke(app, ["query", "show groups", "--controller", "127.0.0.1:1"])
    assert result.exit_code == 3


def test_usage_error_exits_2():
    assert runner.invoke(app, ["query"]).exit_code == 2
    assert runner.invoke(app, ["gateway", "--config", "/nowhere"]).exit_code == 2


def test_version():
    result = runner.invoke(app, ["--version"])
    assert result.output.startswith("mallowpond ")


@pytest.mark.parametrize("command", ["gateway", "controller", "apply", "query", "demo"])
def test_every_command_has_help(command):
    assert "Usage" in runner.invoke(app, [command, "--help"]).output


async def test_metrics_and_health_answer():
    async with serving_site(groups=1) as site:
        controller = site.controllers[0].operator_address
        for address in (site.gateway_address, controller):
            assert (await send(address, "GET", "/healthz")).status == 200
            assert (await send(address, "GET", "/readyz")).status == 200
            page = (await send(address, "GET", "/metrics")).body
            assert b"mallowpond_" in page
