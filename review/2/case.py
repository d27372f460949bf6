"""A core machine is replaced as planned, and another loses its disk.

The successor has run for longer than ``CatchUpS`` and answers reads
when the machine that it replaces gets SIGTERM. Once that has ended,
another core machine loses power and its disk; it comes back at its
address with an empty one. What was acknowledged has to come back.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import operator_client as operator  # noqa: E402
from http_client import request  # noqa: E402
from mesh import BOUNDS, CONTROL_PORT, Mesh, is_trouble  # noqa: E402
from record import Record  # noqa: E402

SERVICE = "desk"
VERSION = 7
# The other machine is lost so long after the replaced one has ended.
LOST_AFTER_S = 0.5
DOWN_S = 3.0
# The successor runs this much longer than CatchUpS.
MARGIN_S = 1.0
# RecoveryS and ContactWindowS are 18 s together.
READ_BACK_S = 60.0
READ_GAP_S = 0.5
END_S = 10.0


class Case:
    """Play the case and read the configuration back."""

    def __init__(self, mesh: Mesh, record: Record) -> None:
        self.mesh = mesh
        self.record = record

    async def run(self) -> bool:
        """Return whether the configuration doesn't come back."""
        mesh, record = self.mesh, self.record
        replaced, lost, kept = mesh.cores
        for host in mesh.cores:
            mesh.start(host)
        await self._change(2, 0, mesh.cores)
        successor = mesh.add_core(1)
        mesh.start(successor)
        record.note(f"{successor} starts, with an empty disk")
        started_at = time.monotonic()
        hosts = [successor, lost, kept]
        await self._wait_for_version(successor, 2)
        await self._change(VERSION, 2, [*hosts, replaced])
        await self._wait_for_version(successor, VERSION)
        bound = started_at + BOUNDS["CatchUpS"] + MARGIN_S
        await asyncio.sleep(max(0.0, bound - time.monotonic()))
        mesh.send_signal(replaced, signal.SIGTERM)
        record.note(f"{replaced} gets SIGTERM, and is removed")
        until = time.monotonic() + END_S
        while mesh.exit_status(replaced) is None:
            if time.monotonic() > until:
                raise TimeoutError("the replaced process did not end")
            await asyncio.sleep(0.01)
        record.note(f"{replaced} has ended")
        if is_trouble():
            await asyncio.sleep(LOST_AFTER_S)
            await self._lose_disk(lost)
        return not await self._read_back(hosts)

    async def _lose_disk(self, host: str) -> None:
        self.mesh.kill(host)
        shutil.rmtree(self.mesh.data_folder(host))
        self.record.note(f"{host} loses power and its disk")
        await asyncio.sleep(DOWN_S)
        self.mesh.start(host)
        self.record.note(f"{host} starts again, with an empty disk")

    async def _change(self, version: int, base: int, hosts: list[str]) -> None:
        rule = operator.build_rule("lookup", SERVICE, "safe", 0.5, 1.2)
        document = operator.build_configuration(version, SERVICE, [rule])
        await operator.order(hosts, document, base)
        self.record.note(f"version {version:08x} is acknowledged")

    async def _read(self, host: str) -> int:
        """Return the version that a node reads back, or 0."""
        answer = await request("GET", host, CONTROL_PORT, operator.PATH)
        version = 0
        if answer.status == operator.OK:
            version = int(json.loads(answer.body)["Version"], 16)
        self.record.note(f"read at {host}: {answer.status}, {version:08x}")
        return version

    async def _wait_for_version(self, host: str, version: int) -> None:
        until = time.monotonic() + END_S
        while await self._read(host) != version:
            if time.monotonic() > until:
                raise TimeoutError(f"{host} did not catch up")
            await asyncio.sleep(0.1)

    async def _read_back(self, hosts: list[str]) -> bool:
        """Return whether all nodes read the newest version at last."""
        until = time.monotonic() + READ_BACK_S
        while time.monotonic() < until:
            versions = [await self._read(host) for host in hosts]
            if any(0 < version < VERSION for version in versions):
                self.record.note("BROKEN: an older version was read")
                return False
            if versions == [VERSION] * len(hosts):
                self.record.note("the newest version is read at all nodes")
                return True
            await asyncio.sleep(READ_GAP_S)
        self.record.note(
            f"BROKEN: version {VERSION:08x} was acknowledged and is not"
            f" read back in {READ_BACK_S:.0f} s"
        )
        return False


def main() -> int:
    """Play the case; return 1 if the rule broke, 2 if it failed."""
    record = Record(FOLDER)
    mesh = Mesh()
    try:
        is_broken = asyncio.run(Case(mesh, record).run())
    except (OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        sys.stderr.write(f"the case could not run: {error!r}\n")
        return 2
    finally:
        mesh.stop()
        record.close()
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
