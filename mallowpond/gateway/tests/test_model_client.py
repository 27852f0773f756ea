"""The API as used through a common model client library."""

import asyncio

import openai
import pytest

from mallowpond.gateway.tests.callers import API_KEY, runs, serving_site, set_faults


def client_of(site, **options):
    base = f"http://{site.gateway_address}/v1"
    options = {"max_retries": 0, "timeout": 10.0} | options
    return openai.OpenAI(base_url=base, api_key=API_KEY, **options)


def messages(text):
    return [{"role": "user", "content": text}]


async def in_thread(work):
    return await asyncio.to_thread(work)


async def test_chat_streamed_and_whole_and_models():
    async with serving_site() as site:
        client = client_of(site)

        def unstreamed():
            return client.chat.completions.create(
                model="meteor-7b", messages=messages("star"), max_tokens=3
            )

        def streamed():
            parts = client.chat.completions.create(
                model="meteor-7b", messages=messages("star"), max_tokens=3, stream=True
            )
            return "".join(p.choices[0].delta.content or "" for p in parts)

        answer = await in_thread(unstreamed)
        assert answer.choices[0].message.content == "star.0 star.1 star.2 "
        assert await in_thread(streamed) == "star.0 star.1 star.2 "
        models = await in_thread(lambda: [m.id for m in client.models.list()])
        assert models == ["meteor-7b"]


async def test_refusals_are_the_clients_own_errors():
    async with serving_site(groups=1) as site:
        client = client_of(site)

        def unknown():
            client.completions.create(model="none", prompt="x")

        with pytest.raises(openai.NotFoundError) as caught:
            await in_thread(unknown)
        assert caught.value.type == "unknown_model"
        with pytest.raises(openai.AuthenticationError):
            wrong = openai.OpenAI(base_url=client.base_url, api_key="x", max_retries=0)
            await in_thread(lambda: wrong.models.list())


async def test_clients_own_retries_do_not_send_an_unknown_request_again():
    """An alert note was sent twice although the gateway sent it once.

    The outcome was unknown, and the client library retries a 502 by itself. The refusal
    did not state that it must not be retried.
    """
    async with serving_site() as site:
        set_faults(site, cut_before_head=True)
        client = client_of(site, max_retries=3)

        def once():
            client.completions.create(
                model="meteor-7b",
                prompt="x",
                extra_headers={"idempotency-key": "k1"},
            )

        with pytest.raises(openai.APIStatusError) as caught:
            await in_thread(once)
        assert caught.value.status_code == 502
        assert len(runs(site)) == 1


async def test_broken_stream_raises_in_the_client():
    async with serving_site() as site:
        set_faults(site, cut_after_tokens=1)
        client = client_of(site)

        def streamed():
            parts = client.completions.create(
                model="meteor-7b", prompt="x", max_tokens=40, stream=True
            )
            return [p for p in parts]

        with pytest.raises(openai.APIError):
            await in_thread(streamed)
