"""A fleet of real processes whose convergence and cost are measured."""

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
from bench.fleet_manifest import MESH, ReleaseApprover, service_name
from bench.fleet_usage import FleetUsage, read_process, read_usage

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

DATA_CENTRES: Final = ("ilala", "kinondoni", "temeke")
START_BATCH_SIZE: Final = 10
FIRST_PORT: Final = 20_000
LAST_PORT: Final = 30_000
WAIT_TIMEOUT_SECONDS: Final = 60.0
UPSTREAM_LEASE_SECONDS: Final = 300
SLOTS: Final = 9
CONNECTIONS: Final = 120
UPSTREAM_PORT: Final = 9
POLL_SECONDS: Final = 0.02
REQUEST_TIMEOUT_SECONDS: Final = 12.0
READER_THREADS: Final = 4


class MeasuredFleet:
    """Run control instances, and nodes with one upstream each.

    The upstreams are announced with a long lease and never called. In a
    colocated fleet all nodes are in the first data centre, so that one
    control instance serves them all.
    """

    def __init__(
        self,
        folder: Path,
        node_count: int,
        distribution: dict[str, int],
        *,
        control_count: int = len(DATA_CENTRES),
        is_colocated: bool = False,
    ) -> None:
        self._node_data_centres = (
            DATA_CENTRES[:1] if is_colocated else DATA_CENTRES
        )
        self.approver = ReleaseApprover()
        self.mesh = LocalMesh(
            MESH,
            folder,
            self.approver.public_key,
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
        """Return the leader, or ``None`` if no fresh leader answers."""
        for control in self.controls:
            state = get_json(f"{control.admin}/v1/status")
            if state and state["role"] == "leader" and state["is_fresh"]:
                return control
        return None

    @property
    def followers(self) -> list[Instance]:
        """Return the control instances other than the leader."""
        leader = self.leader
        return [control for control in self.controls if control is not leader]

    def start(self) -> None:
        """Start every process in batches and announce the upstreams."""
        self.start_instances(self.controls)
        self.wait("a leader", lambda: self.leader is not None)
        self.start_instances(self.nodes)
        for node in self.nodes:
            self.announce(node)

    def start_instances(self, instances: list[Instance]) -> None:
        """Start processes in batches; wait until each has started."""
        for first in range(0, len(instances), START_BATCH_SIZE):
            batch = instances[first : first + START_BATCH_SIZE]
            since = time.time()
            for instance in batch:
                self.mesh.start(instance)
            self.wait_event("process_started", batch, since)

    def submit_next(self) -> tuple[int, float, float]:
        """Submit a release; return its position and two times.

        The times are those of the request and of its answer, in seconds
        since the epoch.
        """
        body = self.approver.approve_next()
        leader = self.leader
        if leader is None:
            raise MeshFailureError("cannot submit: no fresh leader answers")
        started = time.time()
        answer = _request(leader, "POST", "/v1/releases", body)
        return answer["position"], started, time.time()

    def wait_in_force(
        self,
        position: int,
        since: float = 0.0,
        nodes: Iterable[Instance] | None = None,
    ) -> list[float]:
        """Wait for a position on nodes, all by default.

        Return the time at which it was in force on each node, in
        seconds since the epoch.
        """
        waited = list(nodes or self.nodes)
        logs = [self._logs[node.name] for node in waited]

        def is_in_force() -> bool:
            return all(
                log.first_time_in_force(position, since) < float("inf")
                for log in logs
            )

        self.wait(f"position {position}", is_in_force)
        return [log.first_time_in_force(position, since) for log in logs]

    def wait_event(
        self,
        name: str,
        instances: Iterable[Instance],
        since: float,
    ) -> list[float]:
        """Wait until each process logged an event at or after a time.

        Return the time of the event in each log, in seconds since the
        epoch.
        """
        logs = [self._logs[instance.name] for instance in instances]

        def is_seen() -> bool:
            self.mesh.check_alive()
            return all(
                log.first_time(name, since) < float("inf") for log in logs
            )

        self.wait(name, is_seen)
        return [log.first_time(name, since) for log in logs]

    def announce(self, node: Instance, load: float | None = None) -> None:
        """Announce the upstream beside a node, with a load or none."""
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
        """Wait until every node lists ``count`` upstreams as up.

        Return the seconds that it took.
        """
        waiting = list(self.nodes)
        started = time.monotonic()
        with ThreadPoolExecutor(READER_THREADS) as pool:
            while waiting:
                counts = list(pool.map(_count_upstreams, waiting))
                waiting = [
                    node
                    for node, seen in zip(waiting, counts, strict=True)
                    if seen != count
                ]
                if time.monotonic() - started > WAIT_TIMEOUT_SECONDS:
                    names = [node.name for node in waiting]
                    raise MeshFailureError(
                        f"expected {count} upstreams on every node, not on "
                        f"{names}; counts of the last round: {counts}"
                    )
        return time.monotonic() - started

    def usage(self) -> FleetUsage:
        """Read the resource usage of every process."""
        self.mesh.check_alive()
        return read_usage(self.mesh.instances.values())

    def resident_megabytes(self) -> float:
        """Return the mean resident memory of the nodes."""
        sizes = [read_process(node)[1] / 1e6 for node in self.nodes]
        return sum(sizes) / len(sizes)

    def wait(self, what: str, condition: Any) -> float:  # noqa: ANN401
        """Wait until a condition holds; return the seconds it took."""
        return wait_for(what, condition, WAIT_TIMEOUT_SECONDS)

    def check_positions_monotonic(self) -> None:
        """Raise an error if a process has lowered its position."""
        for name, log in self._logs.items():
            if log.has_position_regressed():
                raise MeshFailureError(
                    f"{name}: a lower position came in force, see its log"
                )

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
    # The range is below the ephemeral ports, so that no outgoing
    # connection takes one of the hundreds of ports between the choice
    # here and the start of its process.
    for port in range(FIRST_PORT, LAST_PORT):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        yield port


def _count_upstreams(node: Instance) -> int:
    answer = get_json(f"{node.admin}/v1/upstreams")
    if answer is None:
        return -1
    return sum(
        1 for upstream in answer["upstreams"] if upstream["state"] == "up"
    )


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
        raise MeshFailureError(
            f"{instance.name}: {method} {path} failed: {error}"
        ) from error
