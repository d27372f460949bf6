"""How an attempt ended, as evidence about the upstream's version."""

from __future__ import annotations

from enum import Enum, auto


class AttemptEnd(Enum):
    """Classify the end of an attempt."""

    ANSWERED = auto()
    # A complete response with a 5xx status.
    FAILED = auto()
    # The connection ended before the response did.
    BROKEN = auto()
    # The caller left or its deadline passed.
    CANCELLED = auto()
    # Refused by the node beside the upstream before it ran.
    TURNED_AWAY = auto()
    # Anything else that does not depend on the upstream's version.
    OTHER = auto()
