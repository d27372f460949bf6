"""The quorum logs that a control instance replicates."""

from __future__ import annotations

from enum import IntEnum


class LogGroup(IntEnum):
    """Identify a quorum log.

    Releases are rare and must not queue behind claims, which arrive at
    the rate of calls, so each has a log of its own.
    """

    RELEASES = 0
    CLAIMS = 1
