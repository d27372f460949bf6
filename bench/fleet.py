"""A mesh of processes under measurement."""

from __future__ import annotations

import json
import socket
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Final, Self

from tools.local_mesh import (
    HOST,
    Instance,
    LocalMesh,
    MeshFailureError,
    Ports,
    get_json,
    wait_for,
)

from bench.fleet_log import LogReader
from bench.fleet_manifest import MESH, Legal, service_name
from bench.fleet_usage import FleetUsage, read_process, read_usage

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

DATA_CENTRES: Final = ("ilala", "kinondoni", "temeke")
START_GROUP: Final = 10
FIRST_PORT: Final = 20_000
LAST_PORT: Final = 30_000
LIMIT_SECONDS: Final = 60.0
UPSTREAM_LEASE_SECONDS: Final = 300
SLOTS: Final = 9
CONNECTIONS: Final = 120
UPSTREAM_PORT: Final = 9
POLL_SECONDS: Final = 0.02
REQUEST_TIMEOUT_SECONDS: Final = 12.0
READERS: Final = 4


class MeasuredFleet:
    """Control instances, and nodes with an upstream each.

    The upstreams are announced with a long lease and never called.
    A crowded fleet has all nodes in the first data centre, so that one
    control instance feeds them all.
    """

    def __init__(
        self,
        folder: Path,
        node_count: int,
        distribution: dict[str, int],
        *,
        control_count: int = len(DATA_CENTRES),
        is_crowded: bool = False,
    ) -> None:
        self._node_data_centres = (
            DATA_CENTRES[:1] if is_crowded else DATA_CENTRES
        )
        self.legal = Legal()
        self.mesh = LocalMesh(
            MESH,
            folder,
            self.legal.public_key,
            distribution=distribution,
        )
        self._ports = _free_ports()
        self.controls = [
            self._add_control(number) for number in range(control_count)
        ]
        self.nodes = [self._add_node(number) for number in range(node_count)]
        self._logs = {
            name: LogReader(instance.folder / "log")
            for name, instance in self.mesh.instances.items()
        }

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.mesh.stop_all()

    @property
    def leader(self) -> Instance | None:
        """Return the fresh control instance that leads, if any."""
        for control in self.controls:
            state = get_json(f"{control.admin}/v1/status")
            if state and state["role"] == "leader" and state["is_fresh"]:
                return control
        return None

    @property
    def followers(self) -> list[Instance]:
        """Return the control instances that do not lead."""
        leader = self.leader
        return [one for one in self.controls if one is not leader]

    def start(self) -> None:
        """Start every process, a small group of nodes at a time."""
        self.start_instances(self.controls)
        self.wait("a leader", lambda: self.leader is not None)
        self.start_instances(self.nodes)
        for node in self.nodes:
            self.announce(node)

    def start_instances(self, instances: list[Instance]) -> None:
        """Start processes and wait until each of them has begun."""
        for first in range(0, len(instances), START_GROUP):
            group = instances[first : first + START_GROUP]
            since = time.time()
            for instance in group:
                self.mesh.start(instance)
            self.wait_event("process_started", group, since)

    def submit_next(self) -> tuple[int, float, float]:
        """Submit a release; return position, start and answer time."""
        body = self.legal.approve_next()
        leader = self.leader
        if leader is None:
            raise MeshFailureError("no leader to submit to")
        started = time.time()
        answer = _request(leader, "POST", "/v1/releases", body)
        return answer["position"], started, time.time()

    def wait_in_force(
        self,
        position: int,
        since: float = 0.0,
        nodes: Iterable[Instance] | None = None,
    ) -> list[float]:
        """Return when each node had the position in force."""
        every = list(nodes or self.nodes)
        logs = [self._logs[node.name] for node in every]

        def is_in_force() -> bool:
            return all(
                log.first_in_force(position, since) < float("inf")
                for log in logs
            )

        self.wait(f"position {position}", is_in_force)
        return [log.first_in_force(position, since) for log in logs]

    def wait_event(
        self,
        name: str,
        instances: Iterable[Instance],
        since: float,
    ) -> list[float]:
        """Return when each process logged an event after a time."""
        logs = [self._logs[one.name] for one in instances]

        def is_seen() -> bool:
            self.mesh.check_alive()
            return all(log.first(name, since) < float("inf") for log in logs)

        self.wait(name, is_seen)
        return [log.first(name, since) for log in logs]

    def announce(self, node: Instance, load: float | None = None) -> None:
        """Announce the upstream beside a node, with its load."""
        document = {
            "name": "upstream",
            "service": service_name(self.nodes.index(node)),
            "host": "127.0.0.1",
            "port": UPSTREAM_PORT,
            "slots": SLOTS,
            "connections": CONNECTIONS,
            "state": "up",
            "lease_seconds": UPSTREAM_LEASE_SECONDS,
            "load": load,
        }
        body = json.dumps(document).encode()
        _request(node, "POST", "/v1/announcements", body)

    def withdraw(self, node: Instance) -> None:
        """Withdraw the upstream beside a node."""
        _request(node, "DELETE", "/v1/announcements/upstream", None)

    def wait_upstreams(self, count: int) -> float:
        """Return the seconds until every node lists some upstreams."""
        waiting = list(self.nodes)
        started = time.monotonic()
        with ThreadPoolExecutor(READERS) as pool:
            while waiting:
                counts = list(pool.map(_count_upstreams, waiting))
                waiting = [
                    node
                    for node, seen in zip(waiting, counts, strict=True)
                    if seen != count
                ]
                if time.monotonic() - started > LIMIT_SECONDS:
                    names = [node.name for node in waiting]
                    raise MeshFailureError(
                        f"{count} upstreams: not at {names}, {counts}"
                    )
        return time.monotonic() - started

    def usage(self) -> FleetUsage:
        """Read what every process has used."""
        self.mesh.check_alive()
        return read_usage(self.mesh.instances.values())

    def resident_megabytes(self) -> float:
        """Return the resident memory of a node, as a mean."""
        sizes = [read_process(node)[1] / 1e6 for node in self.nodes]
        return sum(sizes) / len(sizes)

    def wait(self, what: str, condition: Any) -> float:  # noqa: ANN401
        """Wait for a condition; return the seconds it took."""
        return wait_for(what, condition, LIMIT_SECONDS)

    def check_never_back(self) -> None:
        """Fail if a node that ran on has lowered its position."""
        for name, log in self._logs.items():
            if log.went_back():
                raise MeshFailureError(f"{name} went back")

    def _add_control(self, number: int) -> Instance:
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        return self._add(
            f"{data_centre}-c{number}", data_centre, is_control=True
        )

    def _add_node(self, number: int) -> Instance:
        data_centres = self._node_data_centres
        data_centre = data_centres[number % len(data_centres)]
        return self._add(f"{data_centre}-{number}", data_centre)

    def _add(
        self,
        name: str,
        data_centre: str,
        *,
        is_control: bool = False,
    ) -> Instance:
        instance = self.mesh.add(name, data_centre, is_control=is_control)
        instance.ports = Ports(*(next(self._ports) for _ in range(4)))
        return instance


def _free_ports() -> Iterator[int]:
    # below the ports that the kernel gives to outgoing connections, so
    # that none of hundreds is taken between planning and listening
    for port in range(FIRST_PORT, LAST_PORT):
        with socket.socket() as one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                one.bind((HOST, port))
            except OSError:
                continue
        yield port


def _count_upstreams(node: Instance) -> int:
    answer = get_json(f"{node.admin}/v1/upstreams")
    if answer is None:
        return -1
    return sum(1 for one in answer["upstreams"] if one["state"] == "up")


def _request(
    instance: Instance,
    method: str,
    path: str,
    body: bytes | None,
) -> Any:  # noqa: ANN401
    request = urllib.request.Request(
        f"{instance.admin}{path}",
        data=body,
        method=method,
        headers={"content-type": "application/json"},
    )
    try:
        with urllib.request.urlopen(
            request, timeout=REQUEST_TIMEOUT_SECONDS
        ) as answer:
            return json.load(answer)
    except (OSError, ValueError) as error:
        raise MeshFailureError(f"{method} {path}: {error}") from error
