"""Reasons for a node to connect to another control instance."""

from __future__ import annotations

from enum import Enum, auto


class ChangeReason(Enum):
    """Classify why the current source should be replaced."""

    DISCONNECTED = auto()
    SILENT = auto()
    NOT_FRESH = auto()
    BEHIND = auto()
    PREFERS_LOCAL = auto()
