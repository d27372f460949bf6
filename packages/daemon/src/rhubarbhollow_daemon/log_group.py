"""The quorum logs that a control instance takes part in."""

from __future__ import annotations

from enum import IntEnum


class LogGroup(IntEnum):
    """Name a quorum log.

    Releases are few and must not wait behind claims, which come at the
    rate of calls, so each has a log of its own.
    """

    RELEASES = 0
    CLAIMS = 1
