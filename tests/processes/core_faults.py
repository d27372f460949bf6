"""Random disruptions of a core of real processes, by seed.

Disruptions follow each other so that no more than one control instance
counts as lost at a time, but for kills of all instances, which may come
at any moment. After each one, a change must be acknowledged and every
instance must read it back.

    python -m tests.processes.core_faults --seed 1 --rounds 8 --nodes 8
"""

from __future__ import annotations

import argparse
import contextlib
import os
import resource
import shutil
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import httpcore

from tests.processes.test_platform_roles import (
    CONTROL_PORT,
    HOSTS,
    NETWORK,
    Platform,
    build_document,
    get_configuration,
    put_configuration,
)

if TYPE_CHECKING:
    from typing import BinaryIO

# An instance counts as lost until so long after it is back.
CATCH_UP_SECONDS = 4.0
# After that, a change is acknowledged and read back within this time.
RECOVERY_SECONDS = 8.0
# Share of the disruptions that are followed by a kill of all instances
# while one still counts as lost.
OVERLAP_RATIO = 0.3
MAX_SUCCESSORS = 32
KINDS = (
    "kill",
    "kill_all",
    "restart_as_planned",
    "freeze",
    "lose_disk",
    "refuse_writes",
    "replace_as_planned",
    "replace_after_loss",
)
CALM_GAP_SECONDS = 0.05


class FaultFoundError(Exception):
    """A promise was broken; the message says which and when."""


class LimitedPlatform(Platform):
    """A platform whose processes can be kept from writing files.

    They log to a pipe, since the limit holds for a log file too.
    """

    def open_log(self, host: str) -> BinaryIO:
        """Open a pipe that is copied to the log file."""
        source, target = os.pipe()
        copy = threading.Thread(target=self._copy, args=(host, source))
        copy.daemon = True
        copy.start()
        return os.fdopen(target, "wb")

    def limit_file_size(self, host: str, size: int) -> None:
        """Let writes beyond ``size`` bytes fail, as on a full disk."""
        limits = (size, resource.RLIM_INFINITY)
        resource.prlimit(self.process_id(host), resource.RLIMIT_FSIZE, limits)

    def _copy(self, host: str, source: int) -> None:
        with (
            os.fdopen(source, "rb", 0) as pipe,
            self.log_path(host).open("ab", 0) as log,
        ):
            shutil.copyfileobj(pipe, log)


class CoreFaults:
    """Disrupt the core and check it after each disruption."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        node_count: int,
        kinds: tuple[str, ...] = KINDS,
    ) -> None:
        successors = [f"{NETWORK}.1.{n}" for n in range(1, MAX_SUCCESSORS)]
        self._platform = LimitedPlatform(folder, (*HOSTS, *successors))
        self._random = Random(seed)
        self._kinds = kinds
        self._successors = iter(successors)
        self._nodes = [f"{NETWORK}.2.{n}" for n in range(1, node_count + 1)]
        self._hosts = list(HOSTS)
        self._version = 0
        self._started_at = time.monotonic()
        self.history: list[str] = []

    def run(self, rounds: int) -> None:
        """Play ``rounds`` disruptions, one after another."""
        try:
            for host in (*self._hosts, *self._nodes):
                self._start(host)
            self._check()
            for _ in range(rounds):
                kind = self._random.choice(self._kinds)
                host = self._random.choice(self._hosts)
                self._note(f"{kind} {host}")
                getattr(self, kind)(host)
                if self._random.random() < OVERLAP_RATIO:
                    self._note("kill_all before the core has caught up")
                    time.sleep(self._random.uniform(0, CATCH_UP_SECONDS))
                    self.kill_all(host)
                time.sleep(CATCH_UP_SECONDS)
                self._check()
        finally:
            self._platform.stop()

    def kill(self, host: str) -> None:
        """Kill an instance and start it again."""
        self._platform.kill(host)
        time.sleep(self._random.uniform(0.1, 3))
        self._start(host)

    def kill_all(self, _: str) -> None:
        """Kill all instances at once and start them again."""
        for host in self._hosts:
            self._platform.signal(host, signal.SIGKILL)
        for host in self._hosts:
            self._platform.wait(host)
        time.sleep(self._random.uniform(0.1, 1))
        for host in self._hosts:
            self._start(host)

    def restart_as_planned(self, host: str) -> None:
        """Stop an instance by a signal and start it again."""
        self._platform.signal(host, signal.SIGTERM)
        self._platform.wait(host)
        time.sleep(self._random.uniform(0.1, 2))
        self._start(host)

    def freeze(self, host: str) -> None:
        """Stop an instance's processes and let them go on."""
        self._platform.signal(host, signal.SIGSTOP)
        self._change_meanwhile()
        time.sleep(self._random.uniform(0.3, 6))
        self._platform.signal(host, signal.SIGCONT)

    def lose_disk(self, host: str) -> None:
        """Kill an instance and start it again with an empty folder."""
        self._platform.kill(host)
        shutil.rmtree(self._platform.data_folder(host))
        time.sleep(self._random.uniform(0.1, 3))
        self._start(host)

    def refuse_writes(self, host: str) -> None:
        """Let all writes of an instance fail for a while."""
        self._platform.limit_file_size(host, 0)
        self._change_meanwhile()
        time.sleep(self._random.uniform(0.5, 4))
        self._platform.limit_file_size(host, resource.RLIM_INFINITY)

    def replace_as_planned(self, host: str) -> None:
        """Start a successor, wait until it counts, stop the old one."""
        self._start_successor(host)
        time.sleep(CATCH_UP_SECONDS)
        self._platform.signal(host, signal.SIGTERM)
        self._platform.wait(host)

    def replace_after_loss(self, host: str) -> None:
        """Kill an instance for good and start a successor."""
        self._platform.kill(host)
        time.sleep(self._random.uniform(0.1, 3))
        self._start_successor(host)

    def _start_successor(self, host: str) -> None:
        successor = next(self._successors)
        self._hosts[self._hosts.index(host)] = successor
        self._start(successor, FirstStart=False)

    def _start(self, host: str, **changes: object) -> None:
        """Start an instance with the seeds that are in use now."""
        seeds = [f"{seed}:{CONTROL_PORT}" for seed in self._hosts]
        self._platform.start(host, Seeds=seeds, **changes)

    def _change_meanwhile(self) -> None:
        """Send a change that may be lost with the disruption."""
        version = self._version + 1
        document = build_document(version)
        if (
            _put(self._random.choice(self._hosts), document, self._version)
            == 200
        ):
            self._version = version

    def _check(self) -> None:
        """Acknowledge a change and read it back everywhere."""
        deadline = time.monotonic() + RECOVERY_SECONDS
        if not self._version:
            deadline += RECOVERY_SECONDS
        while not self._put_change():
            if time.monotonic() > deadline:
                raise FaultFoundError("no change was acknowledged")
            time.sleep(CALM_GAP_SECONDS)
        expected = build_document(self._version)
        for host in self._hosts:
            while (found := _get(host)) != expected:
                if isinstance(found, dict) and self._is_older(found):
                    raise FaultFoundError(f"{host} read an older version")
                if time.monotonic() > deadline:
                    raise FaultFoundError(f"{host} read {found}")
                time.sleep(CALM_GAP_SECONDS)
        self._note(f"version {self._version} is read back")

    def _put_change(self) -> bool:
        """Send the next change on top of what is in force."""
        host = self._random.choice(self._hosts)
        version = self._version + 2
        status = _put(host, build_document(version), self._version)
        if status == 412:
            # A change without a clear answer was accepted after all.
            found = _get(host)
            if isinstance(found, dict):
                self._version = int(found["Version"], 16)
        if status == 200:
            self._version = version
        return status == 200

    def _is_older(self, found: dict[str, object]) -> bool:
        return int(str(found["Version"]), 16) < self._version

    def _note(self, text: str) -> None:
        elapsed = time.monotonic() - self._started_at
        self.history.append(f"{elapsed:8.2f} {text}")


def _put(host: str, document: dict[str, object], base: int) -> int:
    with contextlib.suppress(httpcore.TimeoutException):
        return put_configuration(host, document, base)
    return 0


def _get(host: str) -> dict[str, object] | int:
    with contextlib.suppress(httpcore.TimeoutException):
        return get_configuration(host)
    return 0


def main() -> int:
    """Play one seed; return 1 and keep its logs if it finds a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--nodes", type=int, default=0)
    parser.add_argument("--kinds", nargs="+", choices=KINDS, default=KINDS)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="rhubarbhollow-core-faults-"))
    kinds = tuple(options.kinds)
    faults = CoreFaults(folder, options.seed, options.nodes, kinds)
    try:
        faults.run(options.rounds)
    except FaultFoundError as error:
        sys.stdout.write("\n".join(faults.history) + "\n")
        sys.stdout.write(f"seed {options.seed}: {error}; logs: {folder}\n")
        return 1
    shutil.rmtree(folder)
    sys.stdout.write(f"seed {options.seed}: passed\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
