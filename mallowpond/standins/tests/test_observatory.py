"""Stand-ins for the platform's engines and store, as used by the fault soak."""

import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from mallowpond.platform import headers as names
from mallowpond.standins.observatory_engine import EngineOptions, ObservatoryEngine
from mallowpond.standins.observatory_operator import (
    ObservatoryOperator,
    foreign_values,
)
from mallowpond.standins.observatory_store import ObservatoryStore, unpack
from mallowpond.transport.http_client import CallFailed, HttpClient

LOOPBACK = "127.0.0.1"
JOIN = {
    "operation": "join",
    "group": "g",
    "epoch": 7,
    "model": "m",
    "members": ["i-fixed"],
}


@asynccontextmanager
async def _store():
    store, http = ObservatoryStore(), HttpClient()
    await store.server.start(LOOPBACK, 0)
    address = f"{LOOPBACK}:{store.server.port}"
    try:
        yield address, ObservatoryOperator(http=http, address=address), http
    finally:
        await http.close()
        await store.server.close()


@asynccontextmanager
async def _engine(options: EngineOptions):
    engine = ObservatoryEngine(options=options)
    await engine.start()
    try:
        yield f"{LOOPBACK}:{engine.server.port}"
    finally:
        await engine.close()


def _options(store: str, tmp_path, **overrides) -> EngineOptions:
    return EngineOptions(
        host=LOOPBACK,
        port=0,
        advertised="127.0.0.1:1",
        store=store,
        service="engines",
        domain="d0",
        data_centre="a",
        journal=str(tmp_path / "journal"),
        id="i-fixed",
        models={"m": 0.0},
        **overrides,
    )


async def _until(condition) -> None:
    async with asyncio.timeout(5.0):
        while not await condition():
            await asyncio.sleep(0.01)


async def _report(http: HttpClient, address: str) -> dict:
    return json.loads((await http.fetch(address, "GET", "/-/report"))[1])


@pytest.mark.parametrize("keeps_staged", [False, True])
async def test_a_restarted_engine_holds_nothing_under_its_id(tmp_path, keeps_staged):
    async with _store() as (store, operator, http):
        options = _options(store, tmp_path)
        if keeps_staged:
            options = replace(options, staged_file=str(tmp_path / "staged"))
        async with _engine(options) as address:
            body = json.dumps(JOIN).encode()
            assert (await http.fetch(address, "POST", "/-/order", body=body))[0] == 202

            async def reports_ready_group() -> bool:
                entry = (await operator.entries()).get("i-fixed", {})
                return (entry.get("group") or {}).get("state") == "ready"

            await _until(reports_ready_group)
            first = await _report(http, address)
            assert first == {**first, "sequence": 1, "staged": ["m"]}
        async with _engine(options) as address:

            async def reports_no_group() -> bool:
                entry = (await operator.entries())["i-fixed"]
                return entry["group"] is None and entry["born"] != first["born"]

            await _until(reports_no_group)
            second = await _report(http, address)
            assert (second["sequence"], second["group"]) == (0, None)
            assert isinstance(second["born"], int) and second["born"] > first["born"]
            assert second["staged"] == (["m"] if keeps_staged else [])


async def test_a_foreign_entry_stands_until_its_time_and_then_the_own_one(tmp_path):
    async with _store() as (store, operator, _):
        async with _engine(_options(store, tmp_path)):

            async def is_own() -> bool:
                return "born" in (await operator.entries()).get("i-fixed", {})

            await _until(is_own)
            assert await operator.write_foreign("i-fixed", b"\xff{", 1.0)
            for _ in range(9):
                # The engine writes every 0.4 s, and the foreign value replaces its own.
                assert not await is_own()
                await asyncio.sleep(0.1)
            await _until(is_own)


def test_foreign_values_are_each_unlike_an_engines_own():
    entry = {
        "service": "s",
        "address": "a:1",
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "born": 1,
        "models": [],
        "staged": [],
        "group": None,
    }
    values = foreign_values(entry)
    assert len(set(values)) == len(values) > 30
    assert json.dumps(entry).encode() not in values


async def test_a_store_that_comes_back_from_a_copy_gives_versions_out_again():
    async with _store() as (address, operator, http):
        await operator.configure({"version": 1})
        await asyncio.sleep(0.2)
        await operator.configure({"version": 2})
        query = "/-/rows-get?table=op&part="
        newest = json.loads((await http.fetch(address, "GET", query))[1])["ver"]
        await operator.restore(age=0.1, away_seconds=0.1, rewrite_seconds=0.1)
        assert isinstance(await http.fetch(address, "GET", query), CallFailed)
        await asyncio.sleep(0.15)
        feed = f"/-/rows-feed?table=op&since_rev={newest}&wait_ms=0"
        assert (await http.fetch(address, "GET", feed))[0] == 410
        answer = await http.fetch_response(address, "GET", query)
        (row,) = json.loads(answer.body)["rows"]
        assert answer.headers["store-era"] == "2"
        assert row["ver"] < newest and unpack(row["value"]) == {"version": 1}
        await asyncio.sleep(0.15)
        (row,) = json.loads((await http.fetch(address, "GET", query))[1])["rows"]
        assert row["ver"] == newest and unpack(row["value"]) == {"version": 2}


async def test_an_engine_that_leaves_serves_on_for_its_drain_time(tmp_path):
    """Guards against soaks in which no engine is left that may be sent to too late."""
    async with _store() as (address, operator, http):
        options = _options(address, tmp_path, drain_seconds=0.3)
        engine = ObservatoryEngine(options=options)
        await engine.start()
        draining = asyncio.create_task(engine.drain())
        await asyncio.sleep(0.2)
        assert not draining.done()
        assert (await operator.entries())["i-fixed"]["state"] == "draining"
        await draining
        assert "i-fixed" not in await operator.entries()
        await engine.close()


async def test_a_stream_that_an_order_ends_is_in_the_journal(tmp_path):
    """Guards against a stream that goes on in the group its engine joined next."""
    async with _store() as (store, operator, http):
        options = _options(store, tmp_path, event_seconds=0.05)
        async with _engine(options) as address:

            async def order(operation: str) -> int:
                body = json.dumps({**JOIN, "operation": operation}).encode()
                return (await http.fetch(address, "POST", "/-/order", body=body))[0]

            async def is_open() -> bool:
                return (await _report(http, address))["group"]["state"] == "open"

            async def opens() -> bool:
                return await order("open") == 200

            assert await order("join") == 202
            await _until(opens)
            await _until(is_open)
            headers = ((names.ATTEMPT, "q"), (names.TOKEN_COUNTS, "1,7000"))
            stream = asyncio.create_task(
                http.fetch(address, "POST", "/s/x", headers=headers, timeout=5.0)
            )
            await asyncio.sleep(0.2)
            assert await order("leave") == 200
            assert await order("join") == 202
            assert isinstance(await stream, CallFailed)
    entries = [
        json.loads(line) for line in (tmp_path / "journal").read_text().splitlines()
    ]
    (end,) = [entry for entry in entries if entry["event"] == "broken off"]
    assert (end["attempt"], end["reason"], end["group"]) == ("q", "order", "g")
