"""Kinds of requests that control instances relay to the leader."""

from __future__ import annotations

from enum import IntEnum


class SubmissionKind(IntEnum):
    """Identify the kind of a relayed request by its wire value."""

    RELEASE = 1
    # 2 carried a whole document in earlier versions.
    READ_INDEX = 3
    COMMAND = 4
