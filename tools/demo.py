"""A first release, its successor and its withdrawal, step by step.

Everything runs as separate processes on the loopback interface and
ends with this program. A step that falls short ends it with an error.
"""

from __future__ import annotations

import shutil
import sys
import time
import urllib.request
from pathlib import Path
from typing import TYPE_CHECKING, Final

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tools.call_watch import CallWatch
from tools.demo_operator import MANIFEST, DemoOperator
from tools.local_mesh import (
    REPOSITORY,
    Instance,
    LocalMesh,
    MeshFailureError,
    call,
    free_ports,
    get_json,
    wait_for,
)

if TYPE_CHECKING:
    import subprocess

FOLDER: Final = REPOSITORY / ".demo"
DATA_CENTRES: Final = ("ilala", "kinondoni", "temeke")
NODES: Final = 6
SLOTS: Final = 9
CONNECTIONS: Final = 120
REST_SECONDS: Final = 4.0
IN_FORCE_LIMIT_SECONDS: Final = 5.0
LEAVE_LIMIT_SECONDS: Final = 3.0
STOP_LIMIT_SECONDS: Final = 20.0
HTTP_OK: Final = 200
EXIT_REFUSED: Final = 3
EXIT_CONFLICT: Final = 4


class Demo:
    """Run the steps in their order and print what each one shows."""

    def __init__(self) -> None:
        self._mesh: LocalMesh | None = None
        self._step = 0
        self._operator = DemoOperator(FOLDER)
        self._upstreams: dict[str, subprocess.Popen[bytes]] = {}

    def run(self) -> None:
        """Run every step; all processes end in any case."""
        shutil.rmtree(FOLDER, ignore_errors=True)
        FOLDER.mkdir()
        started = time.monotonic()
        try:
            self._approve_first_release()
            self._start()
            self._submit_first_release()
            self._call_through_nodes()
            self._release_while_calls_run()
            self._refuse_what_is_not_approved()
            self._withdraw()
            self._lose_the_leader()
            self._drain_a_node()
            self._let_an_upstream_leave()
            self._count_control_bytes()
        finally:
            if self._mesh is not None:
                self._mesh.stop_all()
        seconds = time.monotonic() - started
        print(f"\nAll {self._step} steps held, in {seconds:.1f} s.")

    @property
    def mesh(self) -> LocalMesh:
        """Return the mesh once it has been planned."""
        if self._mesh is None:
            raise MeshFailureError("the mesh is not started")
        return self._mesh

    @property
    def nodes(self) -> list[Instance]:
        """Return the instances that are no control instances."""
        instances = self.mesh.instances.values()
        return [one for one in instances if not one.is_control]

    def _announce(self, title: str) -> None:
        self._step += 1
        print(f"\n{self._step}. {title}")

    def _approve(self, version: int, name: str, key: str = "key") -> None:
        self._operator.write_manifest(version, name)
        self._operator.approve(name, key)

    def _approve_first_release(self) -> None:
        self._announce("Legal makes a key and approves the first manifest")
        self._operator.run("keygen", str(FOLDER / "key"))
        self._operator.run("keygen", str(FOLDER / "stranger"))
        self._operator.run("validate", str(MANIFEST))
        self._approve(1, "first")

    def _start(self) -> None:
        self._announce(
            "Three control instances, six nodes and six upstreams start"
        )
        self._mesh = LocalMesh(
            "meter-returns-lab",
            FOLDER,
            str(FOLDER / "key.pub"),
            distribution={"coalescing_ms": 5, "heartbeat_ms": 1000},
            drain={"spread_ms": 1000},
        )
        for data_centre in DATA_CENTRES:
            self.mesh.add(f"{data_centre}-c", data_centre, is_control=True)
        for number in range(NODES):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.mesh.add(f"{data_centre}-{number}", data_centre)
        self.mesh.start_all()
        self._operator.use(self.mesh.controls)
        for number, node in enumerate(self.nodes):
            service = "counter-desk" if number < NODES / 2 else "test-bench"
            self._start_upstream(node, service)
        seconds = wait_for("a leader", self._has_leader)
        print(f"   a leader was elected after {seconds:.2f} s")
        seconds = wait_for("all upstreams at all nodes", self._has_upstreams)
        print(f"   every node knew every upstream {seconds:.2f} s later")

    def _start_upstream(self, node: Instance, service: str) -> None:
        (port,) = free_ports(1)
        self._upstreams[node.name] = self.mesh.start_other(
            [
                "-m",
                "tests.standin.upstream",
                "--name",
                f"{service}-{node.name}",
                "--service",
                service,
                "--port",
                str(port),
                "--slots",
                str(SLOTS),
                "--connections",
                str(CONNECTIONS),
                "--node-port",
                str(node.ports.caller),
                "--announce",
                node.admin,
            ],
            f"upstream-{node.name}.log",
        )

    def _has_leader(self) -> bool:
        states = (get_json(f"{one.admin}/v1/status") for one in self._controls)
        return any(state and state["role"] == "leader" for state in states)

    @property
    def _controls(self) -> list[Instance]:
        return self.mesh.controls

    def _has_upstreams(self) -> bool:
        lists = (get_json(f"{one.admin}/v1/upstreams") for one in self.nodes)
        return all(
            one and len(one["upstreams"]) == len(self.nodes) for one in lists
        )

    def _in_force(self) -> list[int]:
        states = (
            get_json(f"{one.admin}/v1/status")
            for one in self.mesh.instances.values()
        )
        return [state["active_position"] if state else 0 for state in states]

    def _submit_timed(self, name: str, position: int) -> None:
        started = time.monotonic()
        self._operator.submit(name)
        self._check_in_force(position, started)

    def _check_in_force(self, position: int, started: float) -> None:
        wait_for(
            f"position {position} on every process",
            lambda: set(self._in_force()) == {position},
            IN_FORCE_LIMIT_SECONDS,
        )
        seconds = time.monotonic() - started
        print(
            f"   position {position} is in force on all "
            f"{len(self.mesh.instances)} processes {seconds:.2f} s after "
            "the command was started"
        )

    def _submit_first_release(self) -> None:
        self._announce("An operator submits the release")
        self._submit_timed("first", 1)
        started = time.monotonic()
        again = self._operator.submit("first")
        print(f"   the same files again: {again.splitlines()[0].strip()}")
        self._check_in_force(1, started)

    def _call_through_nodes(self) -> None:
        self._announce("Clerks and benches call through every node")
        for node in self.nodes:
            for path in ("/meters/17", "/benches/4"):
                status, headers, _ = call(node, path)
                if status != HTTP_OK:
                    raise MeshFailureError(f"{path}: {status} {headers}")
            print(
                f"   through {node.name}: "
                f"{headers['rhubarbhollow-upstream']} answered at position "
                f"{headers['rhubarbhollow-position']}"
            )

    def _watched(self, watch: CallWatch) -> None:
        seen = watch.stop()
        print(
            f"   calls meanwhile: {seen.answered} answered, {seen.refused} "
            f"refused, {seen.broken} broken, {seen.went_back} at an older "
            "release than before"
        )
        if seen.refused or seen.broken or seen.went_back:
            raise MeshFailureError(f"callers saw {seen}")

    def _release_while_calls_run(self) -> None:
        self._announce("A second release while calls run")
        self._approve(2, "second")
        with CallWatch(self.nodes, "/meters/17") as watch:
            self._submit_timed("second", 2)
        self._watched(watch)

    def _refuse_what_is_not_approved(self) -> None:
        self._announce("What legal did not approve is refused")
        self._approve(3, "forged", key="stranger")
        refusal = self._operator.submit("forged", expect=EXIT_REFUSED)
        print(f"   a stranger's key: {_error_line(refusal)}")
        self._operator.write_manifest(4, "raced")
        text = (FOLDER / "raced.yaml").read_text()
        renamed = text.replace("version: 4", "version: 2")
        (FOLDER / "raced.yaml").write_text(renamed)
        self._operator.approve("raced")
        conflict = self._operator.submit("raced", expect=EXIT_CONFLICT)
        print(f"   version 2, other content: {_error_line(conflict)}")
        if set(self._in_force()) != {2}:
            raise MeshFailureError(f"in force: {self._in_force()}")

    def _withdraw(self) -> None:
        self._announce("The second release is withdrawn by a new approval")
        started = time.monotonic()
        with CallWatch(self.nodes, "/meters/17") as watch:
            self._operator.run(
                "withdraw",
                "--to-position",
                "1",
                "--key",
                str(FOLDER / "key"),
            )
            self._check_in_force(3, started)
        self._watched(watch)

    def _lose_the_leader(self) -> None:
        self._announce("The leader is killed, and comes back")
        leader = next(
            one
            for one in self._controls
            if get_json(f"{one.admin}/v1/status")["role"] == "leader"
        )
        others = [node for node in self.nodes if node is not leader]
        with CallWatch(others, "/benches/4") as watch:
            self.mesh.kill(leader)
            self._approve(4, "fourth")
            started = time.monotonic()
            self._operator.submit("fourth")
            seconds = time.monotonic() - started
            print(
                f"   without {leader.name} a release was in force "
                f"{seconds:.2f} s after the command was started"
            )
            self.mesh.start(leader)
            seconds = wait_for(
                "the returned instance at position 4",
                lambda: set(self._in_force()) == {4},
            )
            print(f"   {leader.name} had caught up {seconds:.2f} s later")
        self._watched(watch)

    def _drain_a_node(self) -> None:
        self._announce("A node is stopped gracefully while calls run")
        leaving, *others = self.nodes
        with CallWatch(others, "/meters/17") as watch:
            code = self.mesh.terminate(leaving)
        print(f"   {leaving.name} ended with exit code {code}")
        self._watched(watch)
        if code != 0:
            raise MeshFailureError(f"exit code {code}")
        del self.mesh.instances[leaving.name]

    def _let_an_upstream_leave(self) -> None:
        self._announce("An upstream leaves while calls run")
        node = self.nodes[0]
        upstream = self._upstreams[node.name]
        with CallWatch(self.nodes, "/meters/17") as watch:
            upstream.terminate()
            seconds = wait_for(
                "every node to know",
                lambda: self._knows_no_work(node.name),
                LEAVE_LIMIT_SECONDS,
            )
            upstream.wait(STOP_LIMIT_SECONDS)
        print(f"   no node sent it new calls {seconds:.2f} s later")
        self._watched(watch)

    def _knows_no_work(self, node_name: str) -> bool:
        lists = (get_json(f"{one.admin}/v1/upstreams") for one in self.nodes)
        return all(
            answer is not None
            and not any(
                one["node"] == node_name and one["state"] == "up"
                for one in answer["upstreams"]
            )
            for answer in lists
        )

    def _count_control_bytes(self) -> None:
        self._announce("Control bytes")
        before = self._node_bytes()
        time.sleep(REST_SECONDS)
        rest = (self._node_bytes() - before) / REST_SECONDS / len(self.nodes)
        print(f"   at rest: {rest:.0f} bytes a second a node")
        self._approve(5, "fifth")
        before = self._node_bytes()
        started = time.monotonic()
        self._operator.submit("fifth")
        self._check_in_force(5, started)
        seconds = time.monotonic() - started
        spent = (self._node_bytes() - before) / len(self.nodes)
        change = max(0.0, spent - rest * seconds)
        print(f"   for one changed route: {change:.0f} bytes a node")

    def _node_bytes(self) -> int:
        return sum(_control_bytes(node) for node in self.nodes)


def _control_bytes(node: Instance) -> int:
    with urllib.request.urlopen(f"{node.admin}/metrics", timeout=2) as answer:
        text = answer.read().decode()
    return sum(
        int(float(line.rsplit(" ", 1)[1]))
        for line in text.splitlines()
        if line.startswith("rhubarbhollow_control_bytes_total")
        and 'kind="node"' in line
    )


def _error_line(text: str) -> str:
    errors = [line for line in text.splitlines() if "Error:" in line]
    return errors[-1].strip() if errors else text.strip()


if __name__ == "__main__":
    try:
        Demo().run()
    except MeshFailureError as failure:
        print(f"\nFAILED: {failure}", file=sys.stderr)
        sys.exit(1)
