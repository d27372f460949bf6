"""A small mesh of processes, with cuts between control instances."""

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
LIMIT_SECONDS = 30.0
IN_FORCE = re.compile(r"event=release_in_force .*?position=(\d+)")


class Fleet:
    """Three control instances and a node in each data centre."""

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
            self.wait("a leader", self._is_led)
        except MeshFailureError:
            self.mesh.stop_all()
            raise
        return self

    def _is_led(self):
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
        """Return the control instance that leads and is fresh."""
        for control in self.controls:
            state = self.status(control)
            if state and state["role"] == "leader" and state["is_fresh"]:
                return control
        return None

    def status(self, instance):
        return get_json(f"{instance.admin}/v1/status")

    def position(self, instance):
        return (self.status(instance) or {}).get("active_position", 0)

    @property
    def nodes(self):
        instances = self.mesh.instances.values()
        return [one for one in instances if not one.is_control]

    def start_upstreams(self, **options):
        """Start an upstream beside each node; return when all know."""
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
        def is_known():
            lists = (
                get_json(f"{one.admin}/v1/upstreams")
                for one in self.mesh.instances.values()
            )
            return all(one and len(one["upstreams"]) == count for one in lists)

        self.wait(f"{count} upstreams everywhere", is_known)

    def wait(self, what, condition):
        return wait_for(what, condition, LIMIT_SECONDS)

    def wait_position(self, position, instances=None):
        waited = instances or list(self.mesh.instances.values())
        self.wait(
            f"position {position}",
            lambda: all(self.position(one) >= position for one in waited),
        )

    def submit(self, version, via=None, **options):
        status, answer = self.operator.submit(
            via or self.leader, version, **options
        )
        assert status == 200, answer
        return answer["position"]

    def assert_no_node_went_back(self):
        """Read from the logs that no process lowered its position."""
        for instance in self.mesh.instances.values():
            text = (instance.folder / "log").read_text()
            for run in text.split("event=process_started")[1:]:
                positions = [int(one) for one in IN_FORCE.findall(run)]
                assert positions == sorted(set(positions)), instance.name
            assert "InvariantViolation" not in text, instance.name
            assert "Traceback" not in text, (instance.name, text[-3000:])


class RelayedMesh(LocalMesh):
    """Connect through relays, one for each pair that can be cut."""

    relays: dict[tuple[str, str], CutRelay]

    def add_relays(self):
        self.relays = {
            (one.name, control.name): CutRelay(control.ports.control)
            for one in self.instances.values()
            for control in self.controls
            if one is not control
        }

    def cut(self, names):
        """Cut every connection between ``names`` and the others."""
        for pair, relay in self.relays.items():
            if len({name in names for name in pair}) == 2:
                relay.cut()

    def heal(self):
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
