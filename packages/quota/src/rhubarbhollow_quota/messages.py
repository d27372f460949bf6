"""Messages between the holders of shares and their parents.

Rates and tokens are in thousandths, so that they take few bytes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

UNIT: Final = 1000


@dataclass(frozen=True, slots=True)
class QuotaClaim:
    """State what a child holds of one tenant and its demand.

    ``rate`` and ``burst`` are held and part of a quota of
    ``whole_rate`` and ``whole_burst``. ``level`` is the number of
    tokens in hand, ``wanted`` the number that requests wait for, and
    ``returned`` what the child gives back with this report.
    ``applied`` is the latest grant of the report's epoch that set this
    share, -1 if it comes from an earlier epoch or from none.
    """

    tenant: str
    demand: int
    wanted: int
    rate: int
    burst: int
    level: int
    returned: int
    whole_rate: int
    whole_burst: int
    applied: int
    is_half: bool


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """Report shares and demand to a parent.

    ``parent`` and ``epoch`` name the parent whose grants the claims
    describe; they are empty before its first grant. ``target`` is the
    epoch that the report is meant for, zero if the child knows none.
    """

    child: str
    incarnation: int
    number: int
    parent: str
    epoch: int
    target: int
    claims: tuple[QuotaClaim, ...]


@dataclass(frozen=True, slots=True)
class QuotaShare:
    """Lease a part of one tenant's quota.

    ``burst`` limits what accrues; ``excess`` is how far ``tokens`` may
    raise the level above it. After ``retry_ms`` the parent may have a
    token that it does not have now; zero if it may have one any time.
    """

    tenant: str
    rate: int
    burst: int
    excess: int
    tokens: int
    whole_rate: int
    whole_burst: int
    full_ms: int
    half_ms: int
    retry_ms: int


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Answer the report with the number ``answers``."""

    parent: str
    epoch: int
    number: int
    answers: int
    shares: tuple[QuotaShare, ...]


def round_down(value: float) -> int:
    """Return a value in thousandths, rounded down."""
    return max(0, math.floor(value * UNIT + 1e-6))


def round_up(value: float) -> int:
    """Return a value in thousandths, rounded up."""
    return max(0, math.ceil(value * UNIT - 1e-6))
