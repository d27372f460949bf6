"""A process under measurement."""

from __future__ import annotations

import os
import sys
from asyncio.subprocess import PIPE, Process, create_subprocess_exec
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class StartFailed(Exception):  # noqa: N818
    """A process ended before it said where it listens."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold what a process has used so far."""

    processor_seconds: float
    resident_bytes: int


class MeasuredProcess:
    """Start one of our programs; read its use from ``/proc``."""

    def __init__(self, name: str, process: Process, port: int) -> None:
        self.name = name
        self.port = port
        self._process = process

    @classmethod
    async def start(cls, name: str, *arguments: str) -> MeasuredProcess:
        """Start a module and read its ports from its first line."""
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
            raise StartFailed(name)
        return cls(name, process, int(fields["port"]))

    def usage(self) -> Usage:
        """Return the use; processor time in steps of a clock tick."""
        folder = Path("/proc") / str(self._process.pid)
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int((folder / "statm").read_text().split()[1])
        return Usage(ticks / CLOCK_TICKS_PER_SECOND, pages * PAGE_BYTES)

    async def stop(self) -> None:
        """Stop it and wait."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
