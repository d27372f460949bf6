"""Proofs that a request did not run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class UnwrittenStage(Enum):
    """Say how far a request got that was never written upstream."""

    PARSING = "parsing"
    ROUTING = "routing"
    ADMISSION = "admission"
    QUEUED = "queued"
    CLAIMING = "claiming"
    CONNECTING = "connecting"


class UpstreamSignal(Enum):
    """Say how an upstream stated that it did not run a request."""

    # 503 with the header that the platform's upstreams send on shedding
    SHED = "shed"
    # 503 with the same header while it drains
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class NeverWritten:
    """No byte of the request was written to any upstream."""

    stage: UnwrittenStage


@dataclass(frozen=True, slots=True)
class RefusedByUpstream:
    """The upstream itself refused the request before it ran."""

    signal: UpstreamSignal


@dataclass(frozen=True, slots=True)
class RefusedByPeer:
    """The node beside the upstream holds the proof and says so."""

    node: str


NotRunProof: TypeAlias = NeverWritten | RefusedByUpstream | RefusedByPeer
