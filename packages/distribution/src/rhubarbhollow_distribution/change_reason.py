"""Why a node tries another control instance."""

from __future__ import annotations

from enum import Enum, auto


class ChangeReason(Enum):
    """Say what is wrong with the present source."""

    DISCONNECTED = auto()
    SILENT = auto()
    NOT_FRESH = auto()
    BEHIND = auto()
    PREFERS_LOCAL = auto()
