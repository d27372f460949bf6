"""A target withdraws after its node's restart; a late beat follows.

The node beside the target is stopped and started again on its own. The
target then sends DELETE, which the node acknowledges. A heartbeat that
the target sent before arrives late. The target goes on serving for some
seconds, as the pages allow. No request may reach it later than
``DrainPeriodS`` after the acknowledgement.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import operator_client as operator  # noqa: E402
from http_client import request  # noqa: E402
from mesh import BOUNDS, OUTBOUND_PORT, Mesh, is_trouble  # noqa: E402
from record import Record  # noqa: E402
from target import Target  # noqa: E402

SERVICE = "desk"
BEAT_S = 1.5
# The heartbeat arrives this long after it was sent.
LATE_S = 2.5
# The target serves for so long after its DELETE was acknowledged.
SERVES_ON_S = 8.0
CLIENT_GAP_S = 0.05
DEADLINE_MS = 800
RESTART_S = 1.0


class Case:
    """Play the case and count the requests that came too late."""

    def __init__(self, mesh: Mesh, record: Record) -> None:
        self.mesh = mesh
        self.record = record
        self.sent_at: dict[str, float] = {}

    async def run(self) -> int:
        """Return how many requests reached the target too late."""
        mesh, record = self.mesh, self.record
        beside = mesh.add_sidecar(1, SERVICE, 28145)
        other = mesh.add_sidecar(2, SERVICE, 28145)
        target = Target(beside, "i-7f3a91c2", SERVICE, note=record.note)
        await target.start()
        for host in (*mesh.cores, beside, other):
            mesh.start(host)
        rule = operator.build_rule("lookup", SERVICE, "safe", 0.5, 0.8)
        document = operator.build_configuration(2, SERVICE, [rule])
        await operator.order(mesh.cores, document, 0)
        record.note("configuration 00000002 is acknowledged")
        for host in (beside, other):
            await operator.wait_ready(host)
        await self._beat(target, target.beat_body())
        await asyncio.sleep(BEAT_S)
        await self._beat(target, target.beat_body())
        await asyncio.sleep(0.5)
        if is_trouble():
            await self._restart(beside)
        # Sent now, but it arrives late.
        late_beat = target.beat_body()
        late = asyncio.create_task(self._beat_late(target, late_beat))
        await asyncio.sleep(0.1)
        answer = await target.send("DELETE")
        acked_at = time.monotonic()
        record.note(f"target sends DELETE: {answer.status}")
        if answer.status != 200:
            raise TimeoutError("the DELETE was not acknowledged")
        until = acked_at + SERVES_ON_S
        await asyncio.gather(
            *(self._send_requests(host, until) for host in (beside, other))
        )
        await late
        target.stop()
        bound = acked_at + BOUNDS["DrainPeriodS"]
        too_late = [run for run in target.runs if run.at > bound]
        for run in too_late[:5]:
            record.note(
                f"BROKEN: {run.request_id} reached the target"
                f" {run.at - acked_at:.3f} s after the acknowledgement"
            )
        # Only machines in touch count: one that was started again is,
        # once ``ContactWindowS`` has passed.
        in_touch = acked_at + BOUNDS["ContactWindowS"]
        counted = [run for run in too_late if run.at > in_touch]
        record.note(
            f"{len(too_late)} requests came too late, {len(counted)} of them"
            " with all machines in touch"
        )
        return len(counted)

    async def _restart(self, host: str) -> None:
        self.mesh.send_signal(host, signal.SIGTERM)
        self.record.note(f"{host} gets SIGTERM")
        until = time.monotonic() + BOUNDS["GracePeriodS"]
        while self.mesh.exit_status(host) is None:
            if time.monotonic() > until:
                self.mesh.kill(host)
            await asyncio.sleep(0.02)
        self.record.note(f"{host} has ended")
        await asyncio.sleep(RESTART_S)
        self.mesh.start(host)
        await operator.wait_ready(host)
        self.record.note(f"{host} is started again and ready")

    async def _beat(self, target: Target, body: bytes) -> None:
        answer = await target.send("PUT", body)
        self.record.note(f"heartbeat {body.decode()}: {answer.status}")

    async def _beat_late(self, target: Target, body: bytes) -> None:
        await asyncio.sleep(LATE_S)
        await self._beat(target, body)

    async def _send_requests(self, host: str, until: float) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            request_id = f"{host}-{number}"
            fields = (
                ("Host", operator.HOST),
                ("Request-Id", request_id),
                ("Deadline-Milliseconds", str(DEADLINE_MS)),
            )
            answer = await request(
                "GET", host, OUTBOUND_PORT, f"/lookup/{number}", b"", fields
            )
            self.record.note(
                f"client at {host}: {request_id}: {answer.status}"
            )
            await asyncio.sleep(CLIENT_GAP_S)


def main() -> int:
    """Play the case; return 1 if the rule broke, 2 if it failed."""
    record = Record(FOLDER)
    mesh = Mesh()
    try:
        broken = asyncio.run(Case(mesh, record).run())
    except (OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        sys.stderr.write(f"the case could not run: {error!r}\n")
        return 2
    finally:
        mesh.stop()
        record.close()
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
