"""Measure the commit latency of three replicas on real files.

The replicas run in one process.

Run it with a folder on the disk to measure:
``python packages/replication/bench/commit_latency.py FOLDER``.
"""

from __future__ import annotations

import statistics
import sys
import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import anyio
import structlog

from rhubarbhollow_replication.disk import DiskFile, OsDisk
from rhubarbhollow_replication.replica import Replica
from rhubarbhollow_replication.role import Role
from rhubarbhollow_replication.settings import ReplicaSettings
from rhubarbhollow_replication.store import LogStore
from rhubarbhollow_wire.clock import SystemClock

if TYPE_CHECKING:
    from rhubarbhollow_replication.messages import PeerMessage

NAMES = ("a", "b", "c")
PAYLOAD = b"x" * 1000
SEQUENTIAL_COMMITS = 300
CONCURRENT_COMMITS = 3000
CONCURRENCY = 50
MS_PER_SECOND = 1000


class TimedFile:
    """Record the duration of each sync of a file."""

    def __init__(self, file: DiskFile, seconds: list[float]) -> None:
        self._file = file
        self._seconds = seconds

    def write(self, data: bytes) -> None:
        """Append ``data`` to the file."""
        self._file.write(data)

    def sync(self) -> None:
        """Sync the file and record the duration."""
        start = time.monotonic()
        self._file.sync()
        self._seconds.append(time.monotonic() - start)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class TimedDisk(OsDisk):
    """Record the sync durations of all files that it opens."""

    def __init__(self) -> None:
        self.sync_seconds: list[float] = []

    def open(self, path: Path) -> DiskFile:
        """Open a file whose syncs are timed."""
        return TimedFile(super().open(path), self.sync_seconds)


class CountingMachine:
    """State machine that counts commands and ignores their contents."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, payload: bytes) -> object:
        """Count one command."""
        self.count += bool(index and payload)
        return self.count

    def snapshot(self) -> bytes:
        """Return the count."""
        return str(self.count).encode()

    def restore(self, data: bytes) -> None:
        """Restore the count."""
        self.count = int(data)


async def measure(folder: Path) -> None:
    """Start three replicas, commit commands and print the latencies."""
    disk = TimedDisk()
    replicas: dict[str, Replica] = {}

    def send(to: str, message: PeerMessage) -> None:
        replicas[to].receive(message)

    for name in NAMES:
        store = LogStore.open(folder / name, disk=disk).unwrap()
        replicas[name] = Replica(
            settings=ReplicaSettings(name, NAMES),
            store=store,
            machine=CountingMachine(),
            clock=SystemClock(),
            random=Random(name),  # noqa: S311 - spreads elections
            send=send,
        )
    async with anyio.create_task_group() as tasks:
        for replica in replicas.values():
            tasks.start_soon(replica.run)
        leader = await find_leader(replicas)
        disk.sync_seconds.clear()
        seconds = [await commit(leader) for _ in range(SEQUENTIAL_COMMITS)]
        report("one at a time", seconds, disk)
        await commit_concurrently(leader, disk)
        tasks.cancel_scope.cancel()


async def commit_concurrently(leader: Replica, disk: TimedDisk) -> None:
    """Commit with CONCURRENCY proposals in flight."""
    disk.sync_seconds.clear()
    seconds: list[float] = []

    async def propose_all() -> None:
        count = CONCURRENT_COMMITS // CONCURRENCY
        seconds.extend([await commit(leader) for _ in range(count)])

    start = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for _ in range(CONCURRENCY):
            tasks.start_soon(propose_all)
    rate = CONCURRENT_COMMITS / (time.monotonic() - start)
    report(f"{CONCURRENCY} at a time, {rate:.0f} commits/s", seconds, disk)


async def find_leader(replicas: dict[str, Replica]) -> Replica:
    """Wait until a replica is the leader and holds a live lease."""
    while True:
        for replica in replicas.values():
            if replica.status.role is Role.LEADER and replica.status.is_fresh:
                return replica
        await anyio.sleep(0.05)


async def commit(leader: Replica) -> float:
    """Commit one command and return its latency in seconds."""
    start = time.monotonic()
    (await leader.propose(PAYLOAD)).unwrap()
    return time.monotonic() - start


def report(title: str, seconds: list[float], disk: TimedDisk) -> None:
    """Print latencies and the syncs per commit of all replicas."""
    cuts = statistics.quantiles(seconds, n=100)
    syncs = disk.sync_seconds
    sync_ms = statistics.median(syncs) * MS_PER_SECOND
    sys.stdout.write(
        f"{title}: median {cuts[49] * MS_PER_SECOND:.2f} ms, "
        f"p99 {cuts[98] * MS_PER_SECOND:.2f} ms, "
        f"{len(syncs) / len(seconds):.2f} syncs per commit, "
        f"median sync {sync_ms:.2f} ms\n"
    )


if __name__ == "__main__":
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    anyio.run(measure, Path(sys.argv[1]))
