"""Demonstration of releases, withdrawals and failures, step by step.

The mesh runs as separate processes on the loopback interface, which
are stopped when this program ends. A step that does not reach its
expected result ends the program with an error.
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
IDLE_SECONDS: Final = 4.0
IN_FORCE_TIMEOUT_SECONDS: Final = 5.0
LEAVE_TIMEOUT_SECONDS: Final = 3.0
STOP_TIMEOUT_SECONDS: Final = 20.0
HTTP_OK: Final = 200
EXIT_REFUSED: Final = 3
EXIT_CONFLICT: Final = 4


class Demo:
    """Run the steps in order and print the results."""

    def __init__(self) -> None:
        self._mesh: LocalMesh | None = None
        self._step = 0
        self._operator = DemoOperator(FOLDER)
        self._upstreams: dict[str, subprocess.Popen[bytes]] = {}

    def run(self) -> None:
        """Run every step; stop all processes even after a failure."""
        shutil.rmtree(FOLDER, ignore_errors=True)
        FOLDER.mkdir()
        started = time.monotonic()
        try:
            self._approve_first_release()
            self._start()
            self._submit_first_release()
            self._call_through_nodes()
            self._release_while_calls_run()
            self._refuse_unapproved_releases()
            self._withdraw()
            self._kill_the_leader()
            self._stop_a_node()
            self._drain_an_upstream()
            self._count_control_bytes()
        finally:
            if self._mesh is not None:
                self._mesh.stop_all()
        seconds = time.monotonic() - started
        print(f"\nAll {self._step} steps passed in {seconds:.1f} s.")

    @property
    def mesh(self) -> LocalMesh:
        """Return the mesh, which exists from the second step on."""
        if self._mesh is None:
            raise MeshFailureError("the mesh has not been created yet")
        return self._mesh

    @property
    def nodes(self) -> list[Instance]:
        """Return the instances other than the control instances."""
        instances = self.mesh.instances.values()
        return [instance for instance in instances if not instance.is_control]

    def _print_step(self, title: str) -> None:
        self._step += 1
        print(f"\n{self._step}. {title}")

    def _approve(self, version: int, name: str, key: str = "key") -> None:
        self._operator.write_manifest(version, name)
        self._operator.approve(name, key)

    def _approve_first_release(self) -> None:
        self._print_step(
            "The approver creates a key and approves the first manifest"
        )
        self._operator.run("keygen", str(FOLDER / "key"))
        self._operator.run("keygen", str(FOLDER / "stranger"))
        self._operator.run("validate", str(MANIFEST))
        self._approve(1, "first")

    def _start(self) -> None:
        self._print_step(
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
        seconds = wait_for(
            "every upstream on every node", self._has_every_upstream
        )
        print(f"   every node listed every upstream {seconds:.2f} s later")

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
        states = (
            get_json(f"{control.admin}/v1/status")
            for control in self._controls
        )
        return any(state and state["role"] == "leader" for state in states)

    @property
    def _controls(self) -> list[Instance]:
        return self.mesh.controls

    def _has_every_upstream(self) -> bool:
        lists = (get_json(f"{node.admin}/v1/upstreams") for node in self.nodes)
        return all(
            answer and len(answer["upstreams"]) == len(self.nodes)
            for answer in lists
        )

    def _active_positions(self) -> list[int]:
        states = (
            get_json(f"{instance.admin}/v1/status")
            for instance in self.mesh.instances.values()
        )
        return [state["active_position"] if state else 0 for state in states]

    def _submit_timed(self, name: str, position: int) -> None:
        started = time.monotonic()
        self._operator.submit(name)
        self._check_in_force(position, started)

    def _check_in_force(self, position: int, started: float) -> None:
        wait_for(
            f"position {position} on every process",
            lambda: set(self._active_positions()) == {position},
            IN_FORCE_TIMEOUT_SECONDS,
        )
        seconds = time.monotonic() - started
        print(
            f"   position {position} is in force on all "
            f"{len(self.mesh.instances)} processes {seconds:.2f} s after "
            "the command was started"
        )

    def _submit_first_release(self) -> None:
        self._print_step("An operator submits the release")
        self._submit_timed("first", 1)
        started = time.monotonic()
        again = self._operator.submit("first")
        print(
            "   the same files submitted again: "
            f"{again.splitlines()[0].strip()}"
        )
        self._check_in_force(1, started)

    def _call_through_nodes(self) -> None:
        self._print_step("Clerks and benches call through every node")
        for node in self.nodes:
            for path in ("/meters/17", "/benches/4"):
                status, headers, _ = call(node, path)
                if status != HTTP_OK:
                    raise MeshFailureError(
                        f"{path} through {node.name}: expected status "
                        f"{HTTP_OK}, got {status} with {headers}"
                    )
            print(
                f"   through {node.name}: "
                f"{headers['rhubarbhollow-upstream']} answered at position "
                f"{headers['rhubarbhollow-position']}"
            )

    def _check_calls(self, watch: CallWatch) -> None:
        counts = watch.stop()
        print(
            f"   calls meanwhile: {counts.answered} answered, "
            f"{counts.refused} refused, {counts.broken} broken, "
            f"{counts.position_regressions} with a lower position than before"
        )
        if counts.refused or counts.broken or counts.position_regressions:
            raise MeshFailureError(
                f"expected only answered calls, got {counts}"
            )

    def _release_while_calls_run(self) -> None:
        self._print_step("A second release while calls run")
        self._approve(2, "second")
        with CallWatch(self.nodes, "/meters/17") as watch:
            self._submit_timed("second", 2)
        self._check_calls(watch)

    def _refuse_unapproved_releases(self) -> None:
        self._print_step("Releases without a valid approval are refused")
        self._approve(3, "forged", key="stranger")
        refusal = self._operator.submit("forged", expect=EXIT_REFUSED)
        print(f"   an untrusted key: {_last_error_line(refusal)}")
        self._operator.write_manifest(4, "raced")
        text = (FOLDER / "raced.yaml").read_text()
        renamed = text.replace("version: 4", "version: 2")
        (FOLDER / "raced.yaml").write_text(renamed)
        self._operator.approve("raced")
        conflict = self._operator.submit("raced", expect=EXIT_CONFLICT)
        print(f"   version 2 with other content: {_last_error_line(conflict)}")
        if set(self._active_positions()) != {2}:
            raise MeshFailureError(
                "expected position 2 in force everywhere, got "
                f"{self._active_positions()}"
            )

    def _withdraw(self) -> None:
        self._print_step("The second release is withdrawn with a new approval")
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
        self._check_calls(watch)

    def _kill_the_leader(self) -> None:
        self._print_step("The leader is killed and restarted")
        leader = next(
            control
            for control in self._controls
            if get_json(f"{control.admin}/v1/status")["role"] == "leader"
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
                "position 4 on the restarted instance",
                lambda: set(self._active_positions()) == {4},
            )
            print(f"   {leader.name} had caught up {seconds:.2f} s later")
        self._check_calls(watch)

    def _stop_a_node(self) -> None:
        self._print_step("A node is stopped gracefully while calls run")
        leaving, *others = self.nodes
        with CallWatch(others, "/meters/17") as watch:
            code = self.mesh.terminate(leaving)
        print(f"   {leaving.name} ended with exit code {code}")
        self._check_calls(watch)
        if code != 0:
            raise MeshFailureError(
                f"{leaving.name}: expected exit code 0, got {code}"
            )
        del self.mesh.instances[leaving.name]

    def _drain_an_upstream(self) -> None:
        self._print_step("An upstream leaves while calls run")
        node = self.nodes[0]
        upstream = self._upstreams[node.name]
        with CallWatch(self.nodes, "/meters/17") as watch:
            upstream.terminate()
            seconds = wait_for(
                "every node to stop listing the upstream as up",
                lambda: self._is_up_on_no_node(node.name),
                LEAVE_TIMEOUT_SECONDS,
            )
            upstream.wait(STOP_TIMEOUT_SECONDS)
        print(f"   no node sent it new calls {seconds:.2f} s later")
        self._check_calls(watch)

    def _is_up_on_no_node(self, node_name: str) -> bool:
        lists = (get_json(f"{node.admin}/v1/upstreams") for node in self.nodes)
        return all(
            answer is not None
            and not any(
                upstream["node"] == node_name and upstream["state"] == "up"
                for upstream in answer["upstreams"]
            )
            for answer in lists
        )

    def _count_control_bytes(self) -> None:
        self._print_step("Control bytes")
        before = self._node_bytes()
        time.sleep(IDLE_SECONDS)
        idle = (self._node_bytes() - before) / IDLE_SECONDS / len(self.nodes)
        print(f"   idle: {idle:.0f} bytes per second and node")
        self._approve(5, "fifth")
        before = self._node_bytes()
        started = time.monotonic()
        self._operator.submit("fifth")
        self._check_in_force(5, started)
        seconds = time.monotonic() - started
        used = (self._node_bytes() - before) / len(self.nodes)
        change = max(0.0, used - idle * seconds)
        print(f"   one changed route: {change:.0f} bytes per node")

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


def _last_error_line(text: str) -> str:
    errors = [line for line in text.splitlines() if "Error:" in line]
    return errors[-1].strip() if errors else text.strip()


if __name__ == "__main__":
    try:
        Demo().run()
    except MeshFailureError as failure:
        print(f"\nFAILED: {failure}", file=sys.stderr)
        sys.exit(1)
