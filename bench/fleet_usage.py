"""Processor time, memory and control bytes of a fleet's processes."""

from __future__ import annotations

import os
import re
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from tools.local_mesh import Instance

CLOCK_TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
METRICS_TIMEOUT_SECONDS: Final = 10.0
READER_THREADS: Final = 4
_CONTROL_BYTES: Final = re.compile(
    r"^rhubarbhollow_control_bytes_total\{(?P<labels>.*)\} (?P<value>\S+)$",
    re.MULTILINE,
)
_KIND: Final = re.compile(r'kind="(?P<kind>\w+)"')


@dataclass(frozen=True, slots=True)
class InstanceUsage:
    """Hold the usage of one process since its start.

    The processor time is read before and after the request for the
    metrics, so that a window can exclude the cost of these requests.
    """

    at: float
    processor_seconds: float
    processor_seconds_after_request: float
    resident_bytes: int
    control_bytes: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class UsageWindow:
    """Hold the usage of several processes between two readings."""

    pairs: tuple[tuple[InstanceUsage, InstanceUsage], ...]

    @property
    def seconds(self) -> float:
        """Return the mean length of the window."""
        return self._mean(lambda before, after: after.at - before.at)

    @property
    def processor_seconds(self) -> float:
        """Return the mean processor time of a process.

        The requests for the readings themselves are excluded.
        """
        return self._mean(
            lambda before, after: (
                after.processor_seconds
                - before.processor_seconds_after_request
            )
        )

    @property
    def resident_megabytes(self) -> float:
        """Return the mean resident memory at the end of the window."""
        return self._mean(lambda _, after: after.resident_bytes / 1e6)

    @property
    def resident_megabytes_max(self) -> float:
        """Return the largest resident memory at the window's end."""
        return max(after.resident_bytes / 1e6 for _, after in self.pairs)

    def control_bytes(self, kind: str) -> float:
        """Return the mean bytes of a process in both directions."""
        return self._mean(
            lambda before, after: float(
                after.control_bytes.get(kind, 0)
                - before.control_bytes.get(kind, 0)
            )
        )

    def _mean(
        self,
        difference: Callable[[InstanceUsage, InstanceUsage], float],
    ) -> float:
        if not self.pairs:
            return 0.0
        total = sum(difference(before, after) for before, after in self.pairs)
        return total / len(self.pairs)


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """Hold the usage of every process, by instance name."""

    usages: Mapping[str, InstanceUsage]

    def window_until(
        self,
        later: FleetUsage,
        instances: Iterable[Instance],
    ) -> UsageWindow:
        """Return the window from this reading to a later one."""
        return UsageWindow(
            tuple(
                (self.usages[instance.name], later.usages[instance.name])
                for instance in instances
            )
        )


def read_usage(instances: Iterable[Instance]) -> FleetUsage:
    """Read the usage of every process in parallel.

    The readings are not simultaneous: each one has its own time.
    """
    all_instances = list(instances)
    with ThreadPoolExecutor(READER_THREADS) as pool:
        return FleetUsage(
            {
                instance.name: usage
                for instance, usage in zip(
                    all_instances,
                    pool.map(_read_instance, all_instances),
                    strict=True,
                )
            }
        )


def _read_instance(instance: Instance) -> InstanceUsage:
    processor_seconds, resident_bytes = read_process(instance)
    at = time.monotonic()
    with urllib.request.urlopen(
        f"{instance.admin}/metrics", timeout=METRICS_TIMEOUT_SECONDS
    ) as answer:
        text = answer.read().decode()
    control_bytes: dict[str, int] = {}
    for match in _CONTROL_BYTES.finditer(text):
        kind = _KIND.search(match["labels"])
        if kind is not None:
            control_bytes[kind["kind"]] = control_bytes.get(
                kind["kind"], 0
            ) + int(float(match["value"]))
    after_request, _ = read_process(instance)
    return InstanceUsage(
        at, processor_seconds, after_request, resident_bytes, control_bytes
    )


def read_process(instance: Instance) -> tuple[float, int]:
    """Return processor seconds and resident bytes from ``/proc``."""
    assert instance.process is not None
    folder = Path("/proc") / str(instance.process.pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((folder / "statm").read_text().split()[1])
    return ticks / CLOCK_TICKS_PER_SECOND, pages * PAGE_BYTES
