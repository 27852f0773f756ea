"""Messages between hosts of two versions, as while hosts are replaced in turn."""

from dataclasses import fields
from typing import get_args

import cbor2
import pytest

from mallowpond.node.messages import (
    Digest,
    Heartbeat,
    Message,
    VersionAnswer,
    read_message,
    write_message,
)
from mallowpond.state.codec import to_compact

HEARTBEAT = Heartbeat(
    node="a",
    incarnation="i",
    address="10.0.0.1:7340",
    version=3,
    sure=True,
    store=True,
    stopping=False,
    planning=0,
    data_centre="d",
    cores=1.0,
)
DIGEST = Digest(node="a", version=3, last_change=9)
ANSWER = VersionAnswer(node="a", number=4, version=3, age=0.25)
# Datagrams that hosts of an earlier version sent.
EARLIER = {
    "82694865617274626561748e616161696d31302e302e302e313a3733343003f5f5f400f4fb3fb99999"
    "9999999a6164fb3ff0000000000000848080808000": HEARTBEAT,
    "826644696765737485616103098480808080f4": DIGEST,
    "826d56657273696f6e416e737765728461610403fb3fd0000000000000": ANSWER,
}


@pytest.mark.parametrize(("data", "message"), EARLIER.items())
def test_datagrams_of_an_earlier_version_are_read(data, message):
    """Guards against hosts that do not hear those not replaced yet."""
    assert read_message(bytes.fromhex(data)) == message


@pytest.mark.parametrize("message", [HEARTBEAT, DIGEST, ANSWER])
def test_a_later_version_may_add_fields_to_a_message(message):
    """Guards against hosts that do not hear those already replaced."""
    name, values = cbor2.loads(write_message(message))
    missing = len(fields(message)) - len(values)
    left_out = [to_compact(field.default) for field in fields(message)]
    values += left_out[len(left_out) - missing :]
    later = cbor2.dumps([name, [*values, "field of a later version", 7.0]])
    assert read_message(later) == message


def test_a_message_of_an_unknown_kind_is_skipped():
    """Guards against a later version whose new messages break the reader."""
    later = cbor2.dumps(["MessageOfALaterVersion", ["a", 1]])
    assert not isinstance(read_message(later), get_args(Message))
