"""Kinds of requests that control instances relay to the leader."""

from __future__ import annotations

from enum import IntEnum


class SubmissionKind(IntEnum):
    """Identify the kind of a relayed request by its wire value."""

    RELEASE = 1
    DOCUMENT = 2
    READ_INDEX = 3
