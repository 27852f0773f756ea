"""Parse declarations from TOML and report all faults at once."""

import tomllib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from cattrs import transform_error

from mallowpond.protocol.strict import strict_converter
from mallowpond.state.codec import from_json, to_json
from mallowpond.state.declarations import Declaration, Deployment

SHA256_HEX_DIGITS = 64


@dataclass(frozen=True, kw_only=True)
class Fault:
    """An error at a path inside a file, such as ``deployments[0].replicas``."""

    path: str
    message: str


@dataclass(frozen=True, kw_only=True)
class Faults:
    """All faults found in a file."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, kw_only=True)
class Document:
    """An operator's declaration file and the changes that operators made by command.

    The changes are kept apart from the file, so that applying the file again does not
    restore a drained host.
    """

    source: str = ""
    drained_hosts: tuple[str, ...] = ()
    stopped_groups: tuple[str, ...] = ()

    def encode(self) -> str:
        """Return the text that is stored with a configuration version."""
        return to_json(self).decode()


def decode_document(text: str) -> Document:
    """Return the document of a stored configuration version."""
    return from_json(text.encode(), Document) if text else Document()


def parse_document(text: str) -> Declaration | None:
    """Return the declaration of a stored version, None if it has faults."""
    document = decode_document(text)
    parsed = parse_declaration(document.source)
    if isinstance(parsed, Faults):
        return None
    return replace(
        parsed,
        drained_hosts=document.drained_hosts,
        stopped_groups=document.stopped_groups,
    )


def parse_declaration(source: str) -> Declaration | Faults:
    """Return the declaration in a TOML text, or all its faults."""
    try:
        plain = tomllib.loads(source)
    except tomllib.TOMLDecodeError as error:
        return Faults(faults=(Fault(path="", message=f"not TOML: {error}"),))
    for reserved in ("drained_hosts", "stopped_groups"):
        if reserved in plain:
            message = "changed by command (drain, stop, restore), not in the file"
            return Faults(faults=(Fault(path=reserved, message=message),))
    try:
        declaration = strict_converter.structure(plain, Declaration)
    except Exception as error:
        return Faults(faults=faults_from_error(error))
    faults = tuple(_semantic_faults(declaration))
    return Faults(faults=faults) if faults else declaration


def faults_from_error(error: Exception) -> tuple[Fault, ...]:
    """Return the faults, with their paths, that a converter's error contains."""
    found = []
    for line in transform_error(error, path=""):
        message, _, path = line.rpartition(" @ ")
        found.append(Fault(path=path.lstrip("."), message=message or line))
    return tuple(found)


def _semantic_faults(declaration: Declaration) -> Iterator[Fault]:
    lists = {
        "deployments": [d.name for d in declaration.deployments],
        "workspaces": [w.name for w in declaration.workspaces],
        "services": [s.name for s in declaration.services],
        "kinds": [k.name for k in declaration.kinds],
    }
    for path, names in lists.items():
        yield from _duplicates(path, names)
    yield from _duplicates("deployments", [d.model for d in declaration.deployments])
    yield from _duplicates("workspaces", [w.key_sha256 for w in declaration.workspaces])
    for index, deployment in enumerate(declaration.deployments):
        yield from _deployment_faults(f"deployments[{index}]", deployment)
    for index, workspace in enumerate(declaration.workspaces):
        path = f"workspaces[{index}]"
        yield from _at_least(path + ".share", workspace.share, 0.001)
        yield from _at_least(path + ".units_per_day", workspace.units_per_day, 1)
        if not _is_sha256(workspace.key_sha256):
            message = "write the SHA-256 of the key as 64 hexadecimal digits"
            yield Fault(path=path + ".key_sha256", message=message)
    for index, service in enumerate(declaration.services):
        path = f"services[{index}]"
        if not service.path.startswith("/") or service.path.startswith("/v1/"):
            message = "start with '/', and leave '/v1/' to the models"
            yield Fault(path=path + ".path", message=message)
        if not service.targets:
            yield Fault(path=path + ".targets", message="name at least one address")
        for target in service.targets:
            if not _is_address(target):
                message = f"{target!r} is not IP:PORT"
                yield Fault(path=path + ".targets", message=message)


def _deployment_faults(path: str, deployment: Deployment) -> Iterator[Fault]:
    yield from _at_least(path + ".replicas", deployment.replicas, 0)
    yield from _at_least(path + ".hosts_per_group", deployment.hosts_per_group, 1)
    yield from _at_least(path + ".spares", deployment.spares, 0)
    yield from _at_least(path + ".requests_per_group", deployment.requests_per_group, 1)
    yield from _at_least(path + ".expected_seconds", deployment.expected_seconds, 0.001)
    yield from _at_least(path + ".load_seconds", deployment.load_seconds, 0)
    weights = deployment.weights
    yield from _at_least(path + ".weights.group_downtime", weights.group_downtime, 0)
    stranded = weights.stranded_accelerators
    yield from _at_least(path + ".weights.stranded_accelerators", stranded, 0)


def _duplicates(path: str, names: Iterable[str]) -> Iterator[Fault]:
    seen = set()
    for index, name in enumerate(names):
        if not name:
            yield Fault(path=f"{path}[{index}]", message="a name is empty")
        if name in seen:
            yield Fault(path=f"{path}[{index}]", message=f"{name!r} stands twice")
        seen.add(name)


def _at_least(path: str, value: float, minimum: float) -> Iterator[Fault]:
    if value < minimum:
        yield Fault(path=path, message=f"{value} is below {minimum}")


def _is_sha256(text: str) -> bool:
    digits = set("0123456789abcdef")
    return len(text) == SHA256_HEX_DIGITS and set(text) <= digits


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536
