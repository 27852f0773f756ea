"""Retries of a request share its fingerprint; other requests have another one."""

import pytest

from mallowpond.state.fingerprint import fingerprint

REQUEST = {"host": "h", "target": "/s/x", "workspace": "w", "body": b"prompt"}


def test_a_request_that_comes_again_has_the_same_fingerprint():
    assert fingerprint(**REQUEST) == fingerprint(**REQUEST)


@pytest.mark.parametrize(
    "change",
    [
        {"host": "other"},
        {"target": "/s/y"},
        {"workspace": "v"},
        {"workspace": None},
        {"body": b"prompt2"},
        {"target": "/s/xw", "workspace": ""},
    ],
)
def test_another_request_has_another_fingerprint(change):
    assert fingerprint(**{**REQUEST, **change}) != fingerprint(**REQUEST)
