"""What one control instance asks the leader to do."""

from __future__ import annotations

from enum import IntEnum


class SubmissionKind(IntEnum):
    """Name a request for the leader by a stable value."""

    RELEASE = 1
    DOCUMENT = 2
    READ_INDEX = 3
