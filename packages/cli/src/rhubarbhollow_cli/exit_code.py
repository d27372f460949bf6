"""Exit codes that scripts may rely on."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Outcome of a command."""

    DONE = 0
    BAD_INPUT = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN = 5
