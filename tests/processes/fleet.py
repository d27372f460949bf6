"""A small mesh of processes whose control connections can be cut."""

from __future__ import annotations

import re

from tools.local_mesh import (
    LocalMesh,
    MeshFailureError,
    get_json,
    wait_for,
)

from tests.processes.operator import MESH, Operator
from tests.processes.relay import CutRelay

DATA_CENTRES = ("ilala", "kinondoni", "temeke")
WAIT_TIMEOUT_SECONDS = 30.0
IN_FORCE = re.compile(r"event=release_in_force .*?position=(\d+)")


class Fleet:
    """Run a control instance and ``nodes`` nodes in each data centre.

    ``learners`` more control instances start without a vote. With
    ``has_relays``, connections to control instances can be cut.
    """

    def __init__(self, folder, *, nodes=1, has_relays=False, learners=0):
        self.operator = Operator()
        self.mesh = RelayedMesh(
            MESH,
            folder,
            self.operator.public_key,
            distribution={
                "coalescing_ms": 5,
                "heartbeat_ms": 200,
                "lease_ms": 1500,
            },
            drain={"spread_ms": 300},
            control={
                "election_timeout_ms": 500,
                "heartbeat_ms": 80,
                "staging_deadline_ms": 1000,
                "repair_after_seconds": 2,
            },
        )
        for data_centre in DATA_CENTRES:
            self.mesh.add(f"{data_centre}-c", data_centre, is_control=True)
        for data_centre in DATA_CENTRES:
            for number in range(nodes):
                self.mesh.add(f"{data_centre}-{number}", data_centre)
        for number in range(learners):
            self.mesh.add(
                f"learner-{number}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                is_control=True,
                is_voter=False,
            )
        if has_relays:
            self.mesh.add_relays()

    def __enter__(self):
        self.mesh.start_all()
        try:
            self.wait("a leader", self._has_fresh_leader)
        except MeshFailureError:
            self.mesh.stop_all()
            raise
        return self

    def _has_fresh_leader(self):
        self.mesh.check_alive()
        return self.leader is not None

    def __exit__(self, *_):
        self.mesh.stop_all()

    def __getitem__(self, name):
        return self.mesh.instances[name]

    @property
    def controls(self):
        return self.mesh.controls

    @property
    def leader(self):
        """Return the leader, or ``None`` if no fresh leader answers."""
        for control in self.controls:
            state = self.status(control)
            if state and state["role"] == "leader" and state["is_fresh"]:
                return control
        return None

    def status(self, instance):
        """Return the status document, or ``None`` without an answer."""
        return get_json(f"{instance.admin}/v1/status")

    def position(self, instance):
        """Return the position in force, or 0 without an answer."""
        return (self.status(instance) or {}).get("active_position", 0)

    @property
    def nodes(self):
        instances = self.mesh.instances.values()
        return [instance for instance in instances if not instance.is_control]

    def start_upstreams(self, **options):
        """Start an upstream beside each node.

        Wait until every instance lists all of them.
        """
        started = {
            node.name: self.start_upstream(node, **options)
            for node in self.nodes
        }
        self.wait_upstreams(len(started))
        return started

    def start_upstream(self, node, **options):
        arguments = [
            "-m",
            "tests.standin.upstream",
            "--name",
            f"bench-{node.name}",
            "--service",
            "test-bench",
            "--node-port",
            str(node.ports.caller),
            "--announce",
            node.admin,
        ]
        for name, value in options.items():
            arguments += [f"--{name.replace('_', '-')}", str(value)]
        return self.mesh.start_other(arguments, f"upstream-{node.name}.log")

    def wait_upstreams(self, count):
        def is_listed():
            lists = (
                get_json(f"{instance.admin}/v1/upstreams")
                for instance in self.mesh.instances.values()
            )
            return all(
                answer and len(answer["upstreams"]) == count
                for answer in lists
            )

        self.wait(f"{count} upstreams on every instance", is_listed)

    def wait(self, what, condition):
        return wait_for(what, condition, WAIT_TIMEOUT_SECONDS)

    def wait_position(self, position, instances=None):
        waited = instances or list(self.mesh.instances.values())
        self.wait(
            f"position {position}",
            lambda: all(
                self.position(instance) >= position for instance in waited
            ),
        )

    def submit(self, version, via=None, **options):
        """Submit a release, by default to the leader.

        Return its position.
        """
        status, answer = self.operator.submit(
            via or self.leader, version, **options
        )
        assert status == 200, answer
        return answer["position"]

    def assert_positions_monotonic(self):
        """Check in the logs that no process has lowered its position.

        A position may also not come in force twice in one run, and no
        invariant violation or traceback may have been logged.
        """
        for instance in self.mesh.instances.values():
            text = (instance.folder / "log").read_text()
            for run_log in text.split("event=process_started")[1:]:
                positions = [
                    int(position) for position in IN_FORCE.findall(run_log)
                ]
                assert positions == sorted(set(positions)), instance.name
            assert "InvariantViolation" not in text, instance.name
            assert "Traceback" not in text, (instance.name, text[-3000:])


class RelayedMesh(LocalMesh):
    """Connect instances to control instances through relays.

    There is one relay for each pair, so that each pair can be cut.
    """

    relays: dict[tuple[str, str], CutRelay]

    def add_relays(self):
        self.relays = {
            (instance.name, control.name): CutRelay(control.ports.control)
            for instance in self.instances.values()
            for control in self.controls
            if instance is not control
        }

    def cut(self, names):
        """Cut all connections between ``names`` and other instances."""
        for pair, relay in self.relays.items():
            if len({name in names for name in pair}) == 2:
                relay.cut()

    def heal(self):
        """Let all connections carry data again."""
        for relay in self.relays.values():
            relay.heal()

    def settings(self, instance):
        document = super().settings(instance)
        for control in document["controls"]:
            relay = getattr(self, "relays", {}).get(
                (instance.name, control["name"])
            )
            if relay is not None:
                control["port"] = relay.port
        return document

    def stop_all(self):
        super().stop_all()
        for relay in getattr(self, "relays", {}).values():
            relay.close()
