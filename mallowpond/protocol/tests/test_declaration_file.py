"""Declarations: all faults are reported at once, each with its path."""

import pytest

from mallowpond.protocol.declaration_file import (
    Document,
    Faults,
    decode_document,
    parse_declaration,
    parse_document,
)

HASH = "a" * 64
GOOD = f"""
[[deployments]]
name = "meteor"
model = "m"
replicas = 2
hosts_per_group = 4
[deployments.weights]
group_downtime = 5

[[workspaces]]
name = "w"
key_sha256 = "{HASH}"

[[services]]
name = "archive"
path = "/archive"
targets = ["10.0.0.1:80"]
"""


def faults(source):
    parsed = parse_declaration(source)
    assert isinstance(parsed, Faults)
    return [(f.path, f.message) for f in parsed.faults]


def test_good_declaration():
    declaration = parse_declaration(GOOD)
    assert declaration.deployments[0].weights.group_downtime == 5.0
    assert declaration.services[0].targets == ("10.0.0.1:80",)


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("replicas = 2", "replicas = -1", "deployments[0].replicas"),
        ("replicas = 2", 'replicas = "2"', "deployments[0].replicas"),
        ("replicas = 2", "replicas = true", "deployments[0].replicas"),
        ("replicas = 2", "replicaz = 2", "deployments[0]"),
        ("hosts_per_group = 4", "hosts_per_group = 0", "hosts_per_group"),
        (HASH, "secret", "workspaces[0].key_sha256"),
        ('path = "/archive"', 'path = "/v1/x"', "services[0].path"),
        ("10.0.0.1:80", "archive", "services[0].targets"),
        ('name = "w"', 'name = ""', "workspaces[0]"),
        ("group_downtime = 5", "group_downtime = -5", "weights.group_downtime"),
    ],
)
def test_each_fault_has_its_path(old, new, path):
    assert any(path in where for where, _ in faults(GOOD.replace(old, new)))


def test_every_fault_is_named_at_once():
    source = GOOD.replace("replicas = 2", "replicas = -1").replace(HASH, "x")
    assert len(faults(source)) == 2


def test_duplicate_names_are_faults():
    found = faults(GOOD + GOOD)
    assert ("deployments[1]", "'meteor' stands twice") in found


def test_not_toml_is_one_fault():
    ((path, message),) = faults("[[deployments")
    assert path == "" and message.startswith("not TOML")


def test_what_commands_change_stays_out_of_the_file():
    ((path, _),) = faults("drained_hosts = ['h']")
    assert path == "drained_hosts"


def test_document_keeps_commands_apart_from_the_file():
    document = Document(source=GOOD, drained_hosts=("h1",))
    assert decode_document(document.encode()) == document
    assert parse_document(document.encode()).drained_hosts == ("h1",)


def test_faulty_document_is_no_declaration():
    assert parse_document(Document(source="x = 1").encode()) is None
