"""Convergence time and control cost of fleets of several sizes.

Published results refer to the figures by name. In these names, ``rest``
is the idle phase and ``herd`` the simultaneous restart of every third
node.
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from statistics import mean
from typing import TYPE_CHECKING, Final

from tools.local_mesh import MeshFailureError

from bench.distribution_figures import Figure, percentile
from bench.fleet import WAIT_TIMEOUT_SECONDS, MeasuredFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.local_mesh import Instance

    from bench.fleet_usage import FleetUsage

SETTLE_SECONDS: Final = 3.0
IDLE_SECONDS: Final = 8.0
CHANGE_COUNT: Final = 40
CHANGE_PERIOD_SECONDS: Final = 0.25
CHURN_EVENT_COUNT: Final = 80
CHURN_PERIOD_SECONDS: Final = 0.1
PROPAGATION_SAMPLES: Final = 5
LOAD_ROUNDS: Final = 3
LOAD_PERIOD_SECONDS: Final = 5.5
LOADS: Final = (0.1, 0.9)
RESTART_STRIDE: Final = 3
OUTAGE_SECONDS: Final = 4.0
RETRY_SECONDS: Final = 0.1
# Kinds of control connections whose bytes are reported for a role.
CONNECTION_KINDS: Final = {
    "node": (),
    "leader": ("served", "peer"),
    "follower": ("served", "peer"),
    "first control": ("served", "peer"),
}
LEADER_ATTEMPTS: Final = 300


class DistributionRun:
    """Measure a fleet of one size, phase by phase."""

    def __init__(self, fleet: MeasuredFleet) -> None:
        self._fleet = fleet
        self._position = 0
        self._idle_node_bytes_per_second = 0.0
        self._idle_processor_shares: dict[str, float] = {}
        self._idle_bytes_per_second: dict[tuple[str, str], float] = {}
        self._leader: list[Instance] = []
        self._followers: list[Instance] = []

    def measure(self) -> Iterator[Figure]:
        """Run every phase and yield its figures."""
        yield from self._start_fleet()
        yield from self._measure_idle()
        yield from self._measure_changes()
        yield from self._measure_churn()
        yield from self._measure_load()
        yield from self._measure_mass_restart()
        yield from self._measure_outage()
        self._fleet.check_positions_monotonic()

    def _start_fleet(self) -> Iterator[Figure]:
        fleet = self._fleet
        fleet.start()
        initial = fleet.usage()
        for role, instances in (
            ("node", fleet.nodes),
            ("control instance", fleet.controls),
        ):
            window = initial.window_until(initial, instances)
            yield Figure(
                f"no release: resident MB of a {role}",
                window.resident_megabytes,
            )
        self._position, since, _ = fleet.submit_next()
        fleet.wait_in_force(self._position, since)
        fleet.wait_upstreams(len(fleet.nodes))
        leader = fleet.leader
        if leader is None:
            raise MeshFailureError("the leader was lost at the start")
        self._leader = [leader]
        self._followers = [
            control for control in fleet.controls if control is not leader
        ]
        time.sleep(SETTLE_SECONDS)

    def _measure_idle(self) -> Iterator[Figure]:
        resident_megabytes = self._fleet.resident_megabytes()
        yield Figure(
            "rest: node resident MB, no metrics read", resident_megabytes
        )
        before = self._fleet.usage()
        yield Figure(
            "rest: node processor ms, one reading of the metrics",
            mean(
                usage.processor_seconds_after_request - usage.processor_seconds
                for usage in (
                    before.usages[node.name] for node in self._fleet.nodes
                )
            )
            * 1e3,
        )
        time.sleep(IDLE_SECONDS)
        after = self._fleet.usage()
        nodes = before.window_until(after, self._fleet.nodes)
        self._idle_node_bytes_per_second = (
            nodes.control_bytes("node") / nodes.seconds
        )
        yield Figure(
            "rest: node control bytes/s", self._idle_node_bytes_per_second
        )
        for role, instances in self._roles():
            window = before.window_until(after, instances)
            self._idle_processor_shares[role] = (
                window.processor_seconds / window.seconds
            )
            yield Figure(
                f"rest: {role} processor, % of a core",
                self._idle_processor_shares[role] * 100,
            )
            yield Figure(
                f"rest: {role} resident MB", window.resident_megabytes
            )
            for kind in CONNECTION_KINDS[role]:
                rate = window.control_bytes(kind) / window.seconds
                self._idle_bytes_per_second[role, kind] = rate
                yield Figure(f"rest: {role} {kind} bytes/s", rate)

    def _measure_changes(self) -> Iterator[Figure]:
        fleet = self._fleet
        accepted: list[float] = []
        in_force: list[float] = []
        each_node: list[float] = []
        before = fleet.usage()
        for _ in range(CHANGE_COUNT):
            due = time.monotonic() + CHANGE_PERIOD_SECONDS
            self._position, since, answered = fleet.submit_next()
            times = fleet.wait_in_force(self._position, since)
            accepted.append((answered - since) * 1e3)
            in_force.append((max(times) - since) * 1e3)
            each_node.extend((at - since) * 1e3 for at in times)
            time.sleep(max(0.0, due - time.monotonic()))
        after = fleet.usage()
        full_state_bytes = fleet.approver.last_compressed_bytes
        yield from _time_figures("change: accepted, ms", accepted)
        yield from _time_figures("change: in force on a node, ms", each_node)
        yield from _time_figures("change: in force on all, ms", in_force)
        yield from self._change_figures(before, after)
        yield Figure(
            "change: full state to all, bytes, computed",
            float(full_state_bytes * len(fleet.nodes)),
        )
        yield Figure(
            "change: bytes to all, measured",
            (self._node_bytes_above_idle(before, after) / CHANGE_COUNT)
            * len(fleet.nodes),
        )

    def _change_figures(
        self,
        before: FleetUsage,
        after: FleetUsage,
    ) -> Iterator[Figure]:
        spent = self._node_bytes_above_idle(before, after)
        yield Figure("change: node control bytes", spent / CHANGE_COUNT)
        for role, instances in self._roles():
            window = before.window_until(after, instances)
            idle = self._idle_processor_shares[role] * window.seconds
            yield Figure(
                f"change: {role} processor ms beyond rest",
                (window.processor_seconds - idle) / CHANGE_COUNT * 1e3,
            )
            yield Figure(
                f"changes: {role} resident MB", window.resident_megabytes
            )
            for kind in CONNECTION_KINDS[role]:
                idle = self._idle_bytes_per_second[role, kind] * window.seconds
                yield Figure(
                    f"change: {role} {kind} bytes beyond rest",
                    (window.control_bytes(kind) - idle) / CHANGE_COUNT,
                )

    def _measure_churn(self) -> Iterator[Figure]:
        fleet = self._fleet
        before = fleet.usage()
        for number in range(CHURN_EVENT_COUNT // 2):
            node = fleet.nodes[number % len(fleet.nodes)]
            for change in (fleet.withdraw, fleet.announce):
                due = time.monotonic() + CHURN_PERIOD_SECONDS
                change(node)
                time.sleep(max(0.0, due - time.monotonic()))
        fleet.wait_upstreams(len(fleet.nodes))
        after = fleet.usage()
        spent = self._node_bytes_above_idle(before, after)
        yield Figure(
            "churn: node control bytes an event", spent / CHURN_EVENT_COUNT
        )
        window = before.window_until(after, fleet.nodes)
        yield Figure(
            "churn: processor share of a node, %",
            window.processor_seconds / window.seconds * 100,
        )
        yield from _time_figures(
            "churn: known by all, ms", self._time_propagation()
        )

    def _measure_load(self) -> Iterator[Figure]:
        fleet = self._fleet
        before = fleet.usage()
        for number in range(LOAD_ROUNDS):
            due = time.monotonic() + LOAD_PERIOD_SECONDS
            for node in fleet.nodes:
                fleet.announce(node, LOADS[number % len(LOADS)])
            time.sleep(max(0.0, due - time.monotonic()))
        after = fleet.usage()
        window = before.window_until(after, fleet.nodes)
        spent = self._node_bytes_above_idle(before, after)
        yield Figure("load: node control bytes/s", spent / window.seconds)
        yield Figure(
            "load: node control bytes a report",
            spent / (LOAD_ROUNDS * len(fleet.nodes)),
        )
        yield Figure(
            "load: node processor, % of a core",
            window.processor_seconds / window.seconds * 100,
        )

    def _time_propagation(self) -> list[float]:
        fleet = self._fleet
        times: list[float] = []
        for number in range(PROPAGATION_SAMPLES):
            node = fleet.nodes[number]
            started = time.monotonic()
            fleet.withdraw(node)
            fleet.wait_upstreams(len(fleet.nodes) - 1)
            times.append((time.monotonic() - started) * 1e3)
            fleet.announce(node)
            fleet.wait_upstreams(len(fleet.nodes))
        return times

    def _measure_mass_restart(self) -> Iterator[Figure]:
        fleet = self._fleet
        restarted = fleet.nodes[::RESTART_STRIDE]
        others = [node for node in fleet.nodes if node not in restarted]
        before = fleet.usage()
        for node in restarted:
            fleet.mesh.kill(node)
        since = time.time()
        for node in restarted:
            fleet.mesh.start(node)
        started_at = fleet.wait_event("process_started", restarted, since)
        times = fleet.wait_in_force(self._position, since, restarted)
        for node in restarted:
            fleet.announce(node)
        fleet.wait_upstreams(len(fleet.nodes))
        after = fleet.usage()
        waits = [
            in_force - start
            for in_force, start in zip(times, started_at, strict=True)
        ]
        yield Figure("herd: nodes restarted", float(len(restarted)))
        yield Figure("herd: all begun, s", max(started_at) - since)
        yield Figure("herd: begun to in force, mean, s", mean(waits))
        yield Figure("herd: begun to in force, max, s", max(waits))
        yield Figure("herd: all at the position, s", max(times) - since)
        yield Figure(
            "herd: control bytes of a restarted node",
            mean(
                float(after.usages[node.name].control_bytes["node"])
                for node in restarted
            ),
        )
        window = before.window_until(after, others)
        yield Figure(
            "herd: control bytes of another node",
            window.control_bytes("node")
            - self._idle_node_bytes_per_second * window.seconds,
        )

    def _measure_outage(self) -> Iterator[Figure]:
        fleet = self._fleet
        before = fleet.usage()
        for control in fleet.controls:
            fleet.mesh.kill(control)
        time.sleep(OUTAGE_SECONDS)
        since = time.time()
        for control in fleet.controls:
            fleet.mesh.start(control)
        connected = fleet.wait_event("source_connected", fleet.nodes, since)
        position = self._submit_after_outage()
        times = fleet.wait_in_force(position, since)
        fleet.wait_upstreams(len(fleet.nodes))
        after = fleet.usage()
        window = before.window_until(after, fleet.nodes)
        yield Figure("outage: first node connected, s", min(connected) - since)
        yield Figure("outage: all nodes connected, s", max(connected) - since)
        yield Figure(
            "outage: next release in force on all, s", max(times) - since
        )
        yield Figure(
            "outage: control bytes of a node",
            window.control_bytes("node")
            - self._idle_node_bytes_per_second * window.seconds,
        )
        yield Figure("end: resident MB of a node", window.resident_megabytes)
        controls = [
            after.usages[control.name].resident_bytes / 1e6
            for control in fleet.controls
        ]
        yield Figure("end: resident MB of a control instance", mean(controls))

    def _submit_after_outage(self) -> int:
        for _ in range(LEADER_ATTEMPTS):
            if self._fleet.leader is not None:
                return self._fleet.submit_next()[0]
            time.sleep(RETRY_SECONDS)
        raise MeshFailureError(f"no leader within {WAIT_TIMEOUT_SECONDS} s")

    def _node_bytes_above_idle(
        self,
        before: FleetUsage,
        after: FleetUsage,
    ) -> float:
        window = before.window_until(after, self._fleet.nodes)
        spent = window.control_bytes("node")
        return spent - self._idle_node_bytes_per_second * window.seconds

    def _roles(self) -> tuple[tuple[str, list[Instance]], ...]:
        return (
            ("node", self._fleet.nodes),
            ("leader", self._leader),
            ("follower", self._followers),
            ("first control", self._fleet.controls[:1]),
        )


def measure_size(
    node_count: int,
    distribution: dict[str, int],
    *,
    control_count: int,
    is_colocated: bool,
) -> list[Figure]:
    """Start a fleet of ``node_count`` nodes, measure it and stop it."""
    with (
        tempfile.TemporaryDirectory(prefix="rhubarbhollow-bench-") as folder,
        MeasuredFleet(
            Path(folder),
            node_count,
            distribution,
            control_count=control_count,
            is_colocated=is_colocated,
        ) as fleet,
    ):
        return list(DistributionRun(fleet).measure())


def _time_figures(name: str, times: list[float]) -> Iterator[Figure]:
    yield Figure(f"{name} p50", percentile(times, 0.5))
    yield Figure(f"{name} p99", percentile(times, 0.99))
    yield Figure(f"{name} max", max(times))
