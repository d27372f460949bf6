"""Proofs that a request did not run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class UnwrittenStage(Enum):
    """Stage at which a request ended that was never sent upstream."""

    PARSING = "parsing"
    ROUTING = "routing"
    ADMISSION = "admission"
    QUEUED = "queued"
    CLAIMING = "claiming"
    CONNECTING = "connecting"


class UpstreamSignal(Enum):
    """How an upstream stated that it did not run a request."""

    # The upstream refused the request with a status or field that means
    # that it did not run.
    SHED = "shed"
    # The same, sent while the upstream drains.
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
    """The node beside the upstream reported that it has the proof."""

    node: str


NotRunProof: TypeAlias = NeverWritten | RefusedByUpstream | RefusedByPeer
