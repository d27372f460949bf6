"""The outcome of an attempt, as evidence about the upstream."""

from __future__ import annotations

from enum import Enum, auto


class CallResult(Enum):
    """Classify how one attempt at one upstream ended."""

    ANSWERED = auto()
    # A complete response with a 5xx status.
    UPSTREAM_ERROR = auto()
    # The upstream or the node beside it refused the call before it ran.
    REFUSED_NOT_RUN = auto()
    # The node beside the upstream could not serve the call in time and
    # reported its backlog.
    BUSY = auto()
    # The connection broke, the attempt timed out, or the node beside
    # the upstream refused the call without a proof. The call may have
    # run.
    BROKEN = auto()
    # No connection could be opened, or the peer stopped acknowledging
    # data. In the second case the call may have run.
    UNREACHABLE = auto()
    # The caller disconnected or its deadline passed.
    CANCELLED = auto()
