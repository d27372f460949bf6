"""All processes are killed after a target's DELETE is acknowledged.

A target that never reports ``draining`` sends DELETE, gets its 200 and
serves on for some seconds. Then the processes of all machines are
killed at the same moment and are back within a second. A heartbeat that
the target had sent before its DELETE arrives two seconds late. No
request may reach the target later than ``DrainPeriodS`` after the
acknowledgement; requests count from twice ``ContactWindowS`` after the
restart on, when all machines are in touch. With ``TROUBLE=0`` nothing
is killed; the heartbeat is late all the same.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "6" / "lib"))

import fleet as stand  # noqa: E402

SERVICE = "huvo11a"
PREFIX = "/lohu930/"
WORK_SECONDS = 0.05
CLIENTS_PER_NODE = 3
PAUSE_SECONDS = 0.05
CALM_SECONDS = 3.0
DOWN_SECONDS = 0.5
LATE_SECONDS = 2.0
SERVES_ON_SECONDS = 12.0
ACK_SECONDS = 1.0


class Leaver:
    """Send the heartbeats and the DELETE of one target."""

    def __init__(self, fleet: stand.Fleet, node: stand.Machine) -> None:
        self._fleet = fleet
        self._node = node
        self._born = int(time.time() * 1000)
        self._sequence = 0

    def next_body(self) -> bytes:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "Service": SERVICE,
                "Address": f"{self._node.ip}:{self._fleet.app}",
                "Zone": self._node.zone,
                "Version": "v1",
                "Slots": 9,
                "State": "ready",
                "ColdRemainingS": 0,
                "Sequence": self._sequence,
                "born": self._born,
            }
        ).encode()

    async def call(self, method: str, body: bytes | None = None) -> int:
        """Call the node beside the target; return the status."""
        answer = await stand.call(
            self._node.ip,
            self._fleet.control,
            method,
            f"/rhubarbhollow/instances/{self._node.target_id}",
            {"Content-Type": "application/json"},
            body,
            ACK_SECONDS,
        )
        return answer.status

    async def beat(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self.call("PUT", self.next_body())
            await asyncio.sleep(stand.HEARTBEAT_SECONDS)


async def ask(fleet: stand.Fleet, node: stand.Machine, client: int) -> None:
    """Send requests one after another, as one client does."""
    number = 0
    while True:
        number += 1
        path = f"{PREFIX}{node.name}-{client}-{number}"
        await fleet.request(node, "GET", path, is_quiet=True)
        await asyncio.sleep(PAUSE_SECONDS)


async def kill_all(fleet: stand.Fleet) -> None:
    """Kill the processes of all machines at once, and restart them."""
    machines = list(fleet.machines.values())
    for machine in machines:
        if machine.process is not None:
            machine.process.kill()
    for machine in machines:
        if machine.process is not None:
            await machine.process.wait()
    await asyncio.sleep(DOWN_SECONDS)
    for machine in machines:
        await fleet.start_process(machine)


async def main(fleet: stand.Fleet) -> int:
    """Run the case."""
    leaving = fleet.nodes[0]
    for machine in fleet.machines.values():
        await fleet.start_process(machine)
    for node in fleet.nodes[1:]:
        await fleet.start_target(node, str(WORK_SECONDS))
    await fleet.start_target(leaving, str(WORK_SECONDS), "0", "quiet")
    target = Leaver(fleet, leaving)
    beating = asyncio.create_task(target.beat())
    rules = [stand.rule("r-zji9n73", PREFIX, SERVICE)]
    document = stand.configuration(1, rules, [SERVICE])
    if await fleet.put_configuration(document, 0) != 200:
        raise stand.CouldNotRunError("version 1 was not acknowledged")
    await fleet.wait_ready()
    await asyncio.sleep(fleet.bounds["ConfigPropagationS"] + 1)
    asking = [
        asyncio.create_task(ask(fleet, node, client))
        for node in fleet.nodes
        for client in range(CLIENTS_PER_NODE)
    ]
    await asyncio.sleep(CALM_SECONDS)
    beating.cancel()
    late = target.next_body()
    status = await target.call("DELETE")
    acknowledged_at = time.monotonic()
    fleet.record.write(f"{leaving.target_id}: DELETE answered with {status}")
    if status != 200:
        raise stand.CouldNotRunError("the DELETE was not acknowledged")
    if stand.has_trouble():
        fleet.record.write("the processes of all machines are killed")
        await kill_all(fleet)
        fleet.record.write("the processes of all machines are started")
    calm_at = time.monotonic() + 2 * fleet.bounds["ContactWindowS"]
    passed = time.monotonic() - acknowledged_at
    await asyncio.sleep(LATE_SECONDS - passed)
    status = await target.call("PUT", late)
    fleet.record.write(
        f"{leaving.target_id}: the heartbeat from before the DELETE arrives,"
        f" answered with {status}"
    )
    await asyncio.sleep(SERVES_ON_SECONDS - LATE_SECONDS)
    for task in asking:
        task.cancel()
    await asyncio.gather(*asking, return_exceptions=True)
    allowed_until = acknowledged_at + fleet.bounds["DrainPeriodS"]
    runs = [
        run
        for run in fleet.runs()
        if run["target"] == leaving.target_id and "begin" in run
    ]
    after = [run for run in runs if run["at"] > allowed_until]
    counted = [run for run in after if run["at"] > calm_at]
    for run in counted:
        seconds = run["at"] - acknowledged_at
        fleet.record.write(
            f"{leaving.target_id} begins {run['begin']} {seconds:.3f} s after"
            " the acknowledgement"
        )
    fleet.record.write(
        f"runs at {leaving.target_id}: {len(runs)}; later than"
        f" {fleet.bounds['DrainPeriodS']} s after the acknowledgement:"
        f" {len(after)}; of these with all machines in touch: {len(counted)}"
    )
    if not runs:
        raise stand.CouldNotRunError("the target has had no request")
    return stand.BROKEN if counted else stand.HELD


if __name__ == "__main__":
    sys.exit(stand.run_case(HERE, main, services=[SERVICE], nodes_per_zone=1))
