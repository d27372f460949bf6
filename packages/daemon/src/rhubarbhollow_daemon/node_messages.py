"""Messages between nodes and control instances, of this package."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointsRequest:
    """Request every endpoint record that the receiver owns."""

    control: str


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request that a claim command be committed."""

    request_id: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Return the ledger's outcome, empty if none is known."""

    request_id: int
    outcome: bytes


@dataclass(frozen=True, slots=True)
class BurnRequest:
    """Request the counts that burn rates are computed from."""

    request_id: int


@dataclass(frozen=True, slots=True)
class BurnCount:
    """Count the calls of one subject in the window that ends now.

    ``scope`` is service, route, upstream or position, and ``name`` the
    subject in it; ``late`` counts answers beyond the latency objective.
    """

    scope: str
    service: str
    name: str
    window_seconds: int
    calls: int
    failed: int
    late: int


@dataclass(frozen=True, slots=True)
class BurnAnswer:
    """Return the counts of one node, or of all nodes of an instance."""

    request_id: int
    counts: tuple[BurnCount, ...]
