"""Callers that connect while a host is still loading its program."""

import asyncio

import pytest

from mallowpond.platform.early_listener import SETTINGS_VARIABLE, listen_for_callers
from mallowpond.transport.http_client import HttpClient
from mallowpond.transport.http_server import HttpServer


@pytest.fixture
def settings(tmp_path, monkeypatch):
    """Return the path of the settings file, which the test writes."""
    path = tmp_path / "settings.toml"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    return path


async def answer(request, exchange):
    """Answer every request."""
    await exchange.respond(200, b"whole")


async def test_a_caller_that_comes_before_the_program_is_answered_by_it(settings):
    """Callers of a killed host must be answered if it is back half a second later.

    Nothing listened before all modules of the restarted process were loaded. Callers
    that connected meanwhile were refused, tried another host that was starting as well,
    and gave up.
    """
    settings.write_text('callers = "127.0.0.1:0"\n')
    listener = listen_for_callers()
    address = "127.0.0.1:%d" % listener.getsockname()[1]
    http = HttpClient()
    fetch = asyncio.create_task(http.fetch(address, "GET", "/", timeout=5.0))
    await asyncio.sleep(0.05)
    assert not fetch.done()
    server = HttpServer(handler=answer, on_bad_input=answer)
    await server.start("127.0.0.1", 0, listener)
    try:
        assert await fetch == (200, b"whole")
    finally:
        await http.close()
        await server.close()


@pytest.mark.parametrize(
    "text",
    [None, "", "callers = 5", 'callers = "nowhere"', "callers = [", 'callers = "a:b"'],
)
def test_settings_that_cannot_be_read_are_left_to_their_check(settings, text):
    if text is not None:
        settings.write_text(text)
    assert listen_for_callers() is None
