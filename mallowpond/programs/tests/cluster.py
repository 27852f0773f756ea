"""Run the reference layout as processes on loopback, for tests."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from hashlib import sha256
from itertools import islice
from pathlib import Path

from mallowpond.standins.free_ports import free_ports

PORTS = free_ports()
API_KEY = "kurul-key"
STARTUP_SECONDS = 30.0
DECLARATION = f"""
[[deployments]]
name = "meteor"
model = "meteor-7b"
replicas = 2
hosts_per_group = 4
load_seconds = 0.2
requests_per_group = 8

[[workspaces]]
name = "kurul-a"
key_sha256 = "{sha256(API_KEY.encode()).hexdigest()}"

[[kinds]]
name = "alert-note"
repeatable = false
"""


@dataclass(frozen=True, kw_only=True)
class Answer:
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body)


def http(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 20.0,
) -> Answer:
    """Send one HTTP request and return the response, whatever its status."""
    request = urllib.request.Request(
        url, data=body, headers=headers or {}, method=method
    )
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout) as answer:
            return Answer(
                status=answer.status, headers=dict(answer.headers), body=answer.read()
            )
    except urllib.error.HTTPError as error:
        return Answer(status=error.code, headers=dict(error.headers), body=error.read())


@dataclass(kw_only=True)
class Cluster:
    """The processes of one layout; a context manager that starts and kills them."""

    folder: Path
    engines: int = 8
    controllers: int = 2
    gateways: int = 2
    checks_fencing: bool = True
    timings: str = ""
    ports: dict[str, int] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)

    def __enter__(self) -> "Cluster":
        self._assign_ports()
        self._write_settings()
        self.start("platform")
        for name in self.names("engine") + self.names("controller"):
            self.start(name)
        for name in self.names("gateway"):
            self.start(name)
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()

    def names(self, kind: str) -> list[str]:
        """Return the names of the processes of a kind."""
        counts = {
            "engine": self.engines,
            "controller": self.controllers,
            "gateway": self.gateways,
        }
        return [f"{kind}{n}" for n in range(counts[kind])]

    def start(self, name: str) -> None:
        """Start one process from its settings file."""
        kind = name.rstrip("0123456789")
        command = [kind] if kind in ("gateway", "controller") else ["standin", kind]
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "mallowpond", *command]
            + ["--config", str(self.folder / f"{name}.toml")],
            stdout=log,
            stderr=log,
            env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
        )
        log.close()

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.processes[name].kill()
        self.processes[name].wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    def url(self, name: str, path: str) -> str:
        """Return a URL of a process."""
        return f"http://127.0.0.1:{self.ports[name]}{path}"

    def apply(self, declaration: str = DECLARATION, expect: int = 0) -> Answer:
        """Apply a declaration through the first controller."""
        url = self.url("controller0", f"/v1/apply?expect={expect}")
        return http("POST", url, declaration.encode())

    def wait_for(self, condition, seconds: float = STARTUP_SECONDS):
        """Poll `condition` until it returns a true value, and return that value."""
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            try:
                found = condition()
                if found:
                    return found
            except (OSError, ValueError, KeyError):
                pass
            time.sleep(0.05)
        raise AssertionError(f"not reached in {seconds} s: {condition}")

    def wait_ready(self) -> None:
        """Wait until every controller is ready."""
        for name in self.names("controller"):
            self.wait_for(
                lambda n=name: http("GET", self.url(n, "/readyz")).status == 200
            )

    def complete(
        self,
        prompt: str,
        gateway: str = "gateway0",
        headers: dict[str, str] | None = None,
        **fields: object,
    ) -> Answer:
        """Request a completion."""
        body = {"model": "meteor-7b", "prompt": prompt, "max_tokens": 4} | fields
        sent = {"authorization": f"Bearer {API_KEY}"} | (headers or {})
        sent["content-type"] = "application/json"
        url = self.url(gateway, "/v1/completions")
        return http("POST", url, json.dumps(body).encode(), sent)

    def wait_serving(self, gateway: str = "gateway0") -> Answer:
        """Wait until a completion is served."""

        def served() -> Answer | None:
            answer = self.complete("ping", gateway)
            return answer if answer.status == 200 else None

        return self.wait_for(served)

    def set_faults(self, name: str, **faults: object) -> None:
        """Set the faults of a stand-in; the ones not named are reset."""
        url = self.url(name, "/standin/faults")
        http("POST", url, json.dumps(faults).encode())

    def runs(self) -> list[str]:
        """Return the ids of the requests that running engines have started."""
        found: list[str] = []
        for name in self.names("engine"):
            if self.processes[name].poll() is None:
                found += http("GET", self.url(name, "/standin/runs")).json
        return found

    def _assign_ports(self) -> None:
        names = ["platform", *self.names("engine"), *self.names("gateway")]
        names += self.names("controller")
        peers = [f"{name}-peer" for name in self.names("controller")]
        all_names = names + peers
        self.ports = dict(zip(all_names, islice(PORTS, len(all_names)), strict=True))

    def _write(self, name: str, text: str) -> None:
        (self.folder / f"{name}.toml").write_text(text)

    def _write_settings(self) -> None:
        hosts = []
        for index, name in enumerate(self.names("engine")):
            fencing = str(self.checks_fencing).lower()
            self._write(
                name,
                f'host = "{name}"\nport = {self.ports[name]}\n'
                f"checks_fencing = {fencing}\n",
            )
            domain = "a" if index < self.engines / 2 else "b"
            hosts.append(_host_table(name, self.ports[name], domain, "1"))
        for name in self.names("controller"):
            hosts.append(_host_table(f"entry-{name}", 1, "", "boot-1"))
        self._write("platform", f"port = {self.ports['platform']}\n" + "".join(hosts))
        for name in self.names("controller"):
            self._write(
                name,
                f'name = "{name}"\ncell = "ub"\nhost = "entry-{name}"\n'
                f'platform = "127.0.0.1:{self.ports["platform"]}"\n'
                f"operator_port = {self.ports[name]}\n"
                f"peer_port = {self.ports[name + '-peer']}\n"
                f"[timings]\nheartbeat = 0.2\nlease = 1.5\nwatch = 0.2\n"
                f"silent = 1.0\nhost_list = 0.3\nassurance = 2.0\nabort = 4.0\n"
                f"drain_settle = 1.0\nengine_timeout = 0.5\n" + self.timings,
            )
        controllers = [
            f'"127.0.0.1:{self.ports[n + "-peer"]}"' for n in self.names("controller")
        ]
        for index, name in enumerate(self.names("gateway")):
            rotated = controllers[index % len(controllers) :] + controllers
            self._write(
                name,
                f'name = "{name}"\nport = {self.ports[name]}\n'
                f"controllers = [{', '.join(rotated[: len(controllers)])}]\n"
                "receive_seconds = 1.0\n"
                "[timings]\npermit = 2.0\nroutes = 0.1\nclaim = 2.0\n",
            )


def _host_table(name: str, port: int, domain: str, incarnation: str) -> str:
    return (
        f'[[hosts]]\nname = "{name}"\naddress = "127.0.0.1:{port}"\n'
        f'domain = "{domain}"\ndata_centre = "dc1"\naccelerators = 8\n'
        f'incarnation = "{incarnation}"\n'
    )
