"""A benchmark process and its use of processor time and memory."""

from __future__ import annotations

import os
import sys
from asyncio.subprocess import PIPE, Process, create_subprocess_exec
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessStartError(Exception):
    """Raised when a process ends before it prints its port."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold the processor time so far and the resident memory."""

    processor_seconds: float
    resident_bytes: int


class MeasuredProcess:
    """Run a Python module and read its usage from ``/proc``."""

    def __init__(self, name: str, process: Process, port: int) -> None:
        self.name = name
        self.port = port
        self._process = process

    @classmethod
    async def start(cls, name: str, *arguments: str) -> MeasuredProcess:
        """Start a module and read its port from its first output line.

        Raise ``ProcessStartError`` if the line has no ``port=`` field.
        """
        process = await create_subprocess_exec(
            sys.executable, "-m", *arguments, stdout=PIPE
        )
        assert process.stdout is not None
        line = (await process.stdout.readline()).decode()
        fields = dict(
            part.split("=", 1) for part in line.split() if "=" in part
        )
        if "port" not in fields:
            await process.wait()
            raise ProcessStartError(
                f"{name}: expected port=PORT as first line, got {line!r}"
            )
        return cls(name, process, int(fields["port"]))

    def usage(self) -> Usage:
        """Return the usage; processor time is in clock tick steps."""
        folder = Path("/proc") / str(self._process.pid)
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int((folder / "statm").read_text().split()[1])
        return Usage(ticks / CLOCK_TICKS_PER_SECOND, pages * PAGE_BYTES)

    async def stop(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
