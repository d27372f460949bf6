"""Clients with long bodies leave while their requests wait.

All slots of the target are taken by slow requests. More clients send
requests with a body of 130 kB, which wait at the node, and leave before
their deadline. No more than a few of these requests may reach the
target later than half a second after the close has reached the node.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import operator_client as operator  # noqa: E402
from http_client import read_answer  # noqa: E402
from mesh import BOUNDS, OUTBOUND_PORT, Mesh, is_trouble  # noqa: E402
from record import Record  # noqa: E402
from target import Target  # noqa: E402

SERVICE = "desk"
SLOTS = 9
# The targets are slow: about twelve times their usual 0.2 s.
WORK_S = 2.4
WAITING_CLIENTS = 9
FIRST_PIECE = 70_000
SECOND_PIECE = 60_000
PIECE_GAP_S = 0.05
LEAVES_AFTER_S = 0.4
DEADLINE_MS = 5000
OBJECTIVE_S = 2.0
LATE_S = 0.5
A_FEW = 3
WAVES = 3
FIN_WAIT_2 = "05"


def is_close_received(port: int) -> bool:
    """Return whether the peer's system has acknowledged our close.

    Its connection is then in the state FIN_WAIT_2, or gone.
    """
    states = {}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        states.setdefault(int(words[1].split(":")[1], 16), []).append(words[3])
    return all(state == FIN_WAIT_2 for state in states.get(port, []))


class Case:
    """Play the case and count the requests of clients that had left."""

    def __init__(self, mesh: Mesh, record: Record) -> None:
        self.mesh = mesh
        self.record = record
        # When the close of each client had reached the node.
        self.left_at: dict[str, float] = {}

    async def run(self) -> int:
        """Return how many requests came after their close."""
        mesh, record = self.mesh, self.record
        host = mesh.add_sidecar(1, SERVICE, 28145)
        target = Target(
            host, "i-7f3a91c2", SERVICE, SLOTS, lambda _: WORK_S, record.note
        )
        await target.start()
        for each in (*mesh.cores, host):
            mesh.start(each)
        rule = operator.build_rule("order", SERVICE, "unsafe", OBJECTIVE_S, 5)
        document = operator.build_configuration(2, SERVICE, [rule])
        await operator.order(mesh.cores, document, 0)
        await operator.wait_ready(host)
        beats = asyncio.create_task(self._beat(target))
        # The node is in touch once it has run for this time.
        await asyncio.sleep(BOUNDS["ContactWindowS"] + 0.5)
        for wave in range(WAVES):
            await self._play_wave(host, wave)
        beats.cancel()
        target.stop()
        late = [
            run
            for run in target.runs
            if run.at > self.left_at.get(run.request_id, run.at) + LATE_S
        ]
        for run in late:
            after = run.at - self.left_at[run.request_id]
            record.note(
                f"BROKEN: {run.request_id} reached the target {after:.3f} s"
                " after the node had got the client's close"
            )
        record.note(
            f"{len(self.left_at)} clients left, {len(late)} of their requests"
            f" reached the target over {LATE_S} s later"
        )
        return len(late)

    async def _play_wave(self, host: str, wave: int) -> None:
        first = [
            asyncio.create_task(self._call(host, f"w{wave}-first-{i}", None))
            for i in range(SLOTS)
        ]
        await asyncio.sleep(0.2)
        leaves_after_s = LEAVES_AFTER_S if is_trouble() else None
        second = [
            asyncio.create_task(
                self._call(host, f"w{wave}-second-{i}", leaves_after_s)
            )
            for i in range(WAITING_CLIENTS)
        ]
        await asyncio.gather(*first, *second)
        await asyncio.sleep(2 * WORK_S if is_trouble() else 0.2)

    async def _beat(self, target: Target) -> None:
        while True:
            await target.send("PUT", target.beat_body())
            await asyncio.sleep(1.5)

    async def _call(
        self, host: str, request_id: str, leaves_after_s: float | None
    ) -> None:
        reader, writer = await asyncio.open_connection(host, OUTBOUND_PORT)
        head = (
            f"POST /order/{request_id} HTTP/1.1\r\nHost: {operator.HOST}\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Deadline-Milliseconds: {DEADLINE_MS}\r\n"
            f"Content-Length: {FIRST_PIECE + SECOND_PIECE}\r\n\r\n"
        )
        self.record.note(f"client sends {request_id}")
        writer.write(head.encode() + b"a" * FIRST_PIECE)
        await asyncio.sleep(PIECE_GAP_S)
        writer.write(b"b" * SECOND_PIECE)
        try:
            async with asyncio.timeout(leaves_after_s or DEADLINE_MS / 1000):
                answer = await read_answer(reader)
                self.record.note(f"{request_id} is answered {answer.status}")
        except TimeoutError:
            await self._leave(writer, request_id)
        except (OSError, EOFError) as error:
            self.record.note(f"{request_id} is cut: {error!r}")
        writer.close()

    async def _leave(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        port = writer.get_extra_info("sockname")[1]
        writer.close()
        for _ in range(50):
            await asyncio.sleep(0.01)
            if is_close_received(port):
                self.left_at[request_id] = time.monotonic()
                self.record.note(f"{request_id} left; the node has its close")
                return
        self.record.note(f"{request_id} left; its close is still on its way")


def main() -> int:
    """Play the case; return 1 if the rule broke, 2 if it failed."""
    record = Record(FOLDER)
    mesh = Mesh()
    try:
        late = asyncio.run(Case(mesh, record).run())
    except (OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        mesh.stop()
        record.close()
    return 1 if late > A_FEW else 0


if __name__ == "__main__":
    sys.exit(main())
