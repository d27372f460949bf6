"""How a call to an upstream ended, as evidence about it."""

from __future__ import annotations

from enum import Enum, auto


class CallResult(Enum):
    """Tell the end of one attempt at one upstream."""

    ANSWERED = auto()
    # a complete answer with a 5xx status
    UPSTREAM_ERROR = auto()
    # the upstream or the node beside it refused before it ran
    REFUSED_NOT_RUN = auto()
    # the node beside it has too much to do in time; says its backlog
    BUSY = auto()
    # the connection was cut or the attempt timed out; may have run
    BROKEN = auto()
    # no connection could be had, so that nothing was written
    UNREACHABLE = auto()
    # the caller went away or its deadline passed
    CANCELLED = auto()
