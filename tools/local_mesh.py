"""Start, stop and query a mesh of local processes."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from random import SystemRandom
from typing import TYPE_CHECKING, Any, Final

import yaml

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable, Iterable

HOST: Final = "127.0.0.1"
BIN: Final = Path(sys.executable).parent
STOP_TIMEOUT_SECONDS: Final = 15.0
POLL_SECONDS: Final = 0.02
PORTS: Final = range(12_000, 32_000)
REPOSITORY: Final = Path(__file__).resolve().parent.parent

_random = SystemRandom()
_allocated: set[int] = set()


class MeshFailureError(Exception):
    """Raised when a local mesh does not reach an expected state."""


@dataclass(frozen=True, slots=True)
class Ports:
    """Hold the listening ports of one process."""

    caller: int
    peer: int
    admin: int
    control: int


@dataclass(slots=True)
class Instance:
    """Hold one process of the mesh, its ports and its folder."""

    name: str
    data_centre: str
    ports: Ports
    is_control: bool
    folder: Path
    is_voter: bool = True
    process: subprocess.Popen[bytes] | None = None

    @property
    def admin(self) -> str:
        """Return the base URL of the admin port."""
        return f"http://{HOST}:{self.ports.admin}"


@dataclass(slots=True)
class LocalMesh:
    """Manage the processes of one mesh; ``stop_all`` ends them all."""

    mesh: str
    folder: Path
    public_key: str
    distribution: dict[str, int] = field(default_factory=dict)
    drain: dict[str, int] = field(default_factory=dict)
    control: dict[str, Any] = field(default_factory=dict)
    instances: dict[str, Instance] = field(default_factory=dict)
    others: list[subprocess.Popen[bytes]] = field(default_factory=list)

    @property
    def controls(self) -> list[Instance]:
        """Return the control instances."""
        return [
            instance
            for instance in self.instances.values()
            if instance.is_control
        ]

    def add(
        self,
        name: str,
        data_centre: str,
        *,
        is_control: bool = False,
        is_voter: bool = True,
    ) -> Instance:
        """Add an instance without starting it.

        Its settings are written when it starts, since they list all
        control instances.
        """
        ports = Ports(*free_ports(4))
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        instance = Instance(
            name,
            data_centre,
            ports,
            is_control,
            folder,
            is_voter,
        )
        self.instances[name] = instance
        return instance

    def start(self, instance: Instance) -> None:
        """Write the settings of an instance and start its process."""
        config = instance.folder / "settings.yaml"
        config.write_text(yaml.safe_dump(self.settings(instance)))
        with (instance.folder / "log").open("ab") as log:
            instance.process = subprocess.Popen(
                [str(BIN / "rhubarbhollowd"), "--config", str(config)],
                stdout=log,
                stderr=log,
            )

    def start_all(self) -> None:
        """Start every instance."""
        for instance in self.instances.values():
            self.start(instance)

    def start_other(
        self,
        arguments: Iterable[str],
        log_name: str,
    ) -> subprocess.Popen[bytes]:
        """Start a Python process other than an instance."""
        with (self.folder / log_name).open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                cwd=REPOSITORY,
            )
        self.others.append(process)
        return process

    def kill(self, instance: Instance) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        if instance.process is not None:
            instance.process.kill()
            instance.process.wait()

    def terminate(self, instance: Instance) -> int:
        """Stop a process with SIGTERM; return its exit code."""
        if instance.process is None:
            return 0
        instance.process.terminate()
        return instance.process.wait(STOP_TIMEOUT_SECONDS)

    def send_signal(self, instance: Instance, number: signal.Signals) -> None:
        """Send a signal, such as SIGSTOP, to a process."""
        if instance.process is not None:
            os.kill(instance.process.pid, number)

    def stop_all(self) -> None:
        """Kill every process that this mesh started."""
        processes = [
            *(
                instance.process
                for instance in self.instances.values()
                if instance.process
            ),
            *self.others,
        ]
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()

    def check_alive(self) -> None:
        """Raise ``MeshFailureError`` if an instance has ended."""
        for instance in self.instances.values():
            process = instance.process
            if process is not None and process.poll() is not None:
                raise MeshFailureError(
                    f"{instance.name} ended with exit code "
                    f"{process.returncode}; see {instance.folder / 'log'}"
                )

    def settings(self, instance: Instance) -> dict[str, Any]:
        """Return the settings document of an instance."""
        document: dict[str, Any] = {
            "mesh": self.mesh,
            "instance": {
                "name": instance.name,
                "data_centre": instance.data_centre,
            },
            "listen": {
                "host": HOST,
                "caller_port": instance.ports.caller,
                "peer_port": instance.ports.peer,
                "admin_port": instance.ports.admin,
            },
            "approval_keys": [self.public_key],
            "controls": [
                {
                    "name": control.name,
                    "data_centre": control.data_centre,
                    "host": HOST,
                    "port": control.ports.control,
                }
                for control in self.controls
            ],
            "distribution": self.distribution,
            "drain": self.drain,
        }
        if instance.is_control:
            document["listen"]["control_port"] = instance.ports.control
            document["control"] = {
                "data_folder": str(instance.folder / "data"),
                "members": [
                    control.name
                    for control in self.controls
                    if control.is_voter
                ],
                **self.control,
            }
        return document


def free_ports(count: int) -> list[int]:
    """Return unused ports that no earlier call has returned.

    They are below the range of ephemeral ports: an outgoing connection
    could otherwise take one of them before its process starts.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _random.choice(PORTS)
        if port not in _allocated and _is_free(port):
            _allocated.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def get_json(url: str, timeout_seconds: float = 2.0) -> Any:  # noqa: ANN401
    """Return the JSON document at a URL, or ``None`` on any failure."""
    try:
        with urllib.request.urlopen(url, timeout=timeout_seconds) as answer:
            return json.load(answer)
    except (OSError, ValueError):
        return None


def call(
    instance: Instance,
    path: str,
    *,
    host: str = "mesh",
    method: str = "GET",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one call through a node; return status, headers and body.

    The names of the headers are in lower case. Raise ``OSError`` if the
    node sends no response.
    """
    request = urllib.request.Request(
        f"http://{HOST}:{instance.ports.caller}{path}",
        data=body,
        method=method,
        headers={"Host": host, **(headers or {})},
    )
    try:
        with urllib.request.urlopen(
            request,
            timeout=timeout_seconds,
        ) as answer:
            return answer.status, _lower_names(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, _lower_names(error.headers), error.read()


def wait_for(
    what: str,
    condition: Callable[[], Any],
    timeout_seconds: float = 15.0,
) -> float:
    """Wait until a condition holds; return the seconds it took.

    Raise ``MeshFailureError`` after ``timeout_seconds``.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_seconds:
            raise MeshFailureError(f"{what}: not within {timeout_seconds} s")
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started


def _lower_names(headers: Any) -> dict[str, str]:  # noqa: ANN401
    return {name.lower(): value for name, value in headers.items()}
