"""What the processes of a fleet have used, at one moment."""

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
READERS: Final = 4
_BYTES: Final = re.compile(
    r"^rhubarbhollow_control_bytes_total\{(?P<labels>.*)\} (?P<value>\S+)$",
    re.MULTILINE,
)
_KIND: Final = re.compile(r'kind="(?P<kind>\w+)"')


@dataclass(frozen=True, slots=True)
class InstanceUsage:
    """Hold what one process has used since its start.

    The processor time is read on both sides of the request for the
    other figures, so that a window can leave these requests out.
    """

    at: float
    processor_seconds: float
    processor_seconds_after_request: float
    resident_bytes: int
    control_bytes: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class UsageWindow:
    """Hold the use of some processes between two moments."""

    pairs: tuple[tuple[InstanceUsage, InstanceUsage], ...]

    @property
    def seconds(self) -> float:
        """Return the mean length."""
        return self._mean(lambda before, after: after.at - before.at)

    @property
    def processor_seconds(self) -> float:
        """Return the processor time of a process, as a mean.

        It leaves out the requests for the readings themselves.
        """
        return self._mean(
            lambda before, after: (
                after.processor_seconds
                - before.processor_seconds_after_request
            )
        )

    @property
    def resident_megabytes(self) -> float:
        """Return the resident memory at the end, as a mean."""
        return self._mean(lambda _, after: after.resident_bytes / 1e6)

    @property
    def resident_megabytes_max(self) -> float:
        """Return the largest resident memory at the end."""
        return max(after.resident_bytes / 1e6 for _, after in self.pairs)

    def control_bytes(self, kind: str) -> float:
        """Return the bytes of a process, both ways, as a mean."""
        return self._mean(
            lambda before, after: float(
                after.control_bytes.get(kind, 0)
                - before.control_bytes.get(kind, 0)
            )
        )

    def _mean(
        self,
        measure: Callable[[InstanceUsage, InstanceUsage], float],
    ) -> float:
        if not self.pairs:
            return 0.0
        total = sum(measure(before, after) for before, after in self.pairs)
        return total / len(self.pairs)


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """Hold what every process has used, by instance name."""

    usages: Mapping[str, InstanceUsage]

    def until(
        self,
        later: FleetUsage,
        instances: Iterable[Instance],
    ) -> UsageWindow:
        """Return the window that ends at a later reading."""
        return UsageWindow(
            tuple(
                (self.usages[one.name], later.usages[one.name])
                for one in instances
            )
        )


def read_usage(instances: Iterable[Instance]) -> FleetUsage:
    """Read every process; each reading has a time of its own."""
    every = list(instances)
    with ThreadPoolExecutor(READERS) as pool:
        return FleetUsage(
            {
                one.name: usage
                for one, usage in zip(
                    every, pool.map(_read_instance, every), strict=True
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
    counted: dict[str, int] = {}
    for found in _BYTES.finditer(text):
        kind = _KIND.search(found["labels"])
        if kind is not None:
            counted[kind["kind"]] = counted.get(kind["kind"], 0) + int(
                float(found["value"])
            )
    after_request, _ = read_process(instance)
    return InstanceUsage(
        at, processor_seconds, after_request, resident_bytes, counted
    )


def read_process(instance: Instance) -> tuple[float, int]:
    """Return the processor seconds and the resident bytes."""
    assert instance.process is not None
    folder = Path("/proc") / str(instance.process.pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((folder / "statm").read_text().split()[1])
    return ticks / CLOCK_TICKS_PER_SECOND, pages * PAGE_BYTES
