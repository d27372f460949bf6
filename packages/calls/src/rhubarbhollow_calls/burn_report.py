"""Burn rates as operators read them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.burn_series import BurnCounts
    from rhubarbhollow_calls.burn_subject import BurnSubject
    from rhubarbhollow_calls.burn_window import BurnWindow


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Show one window of a subject.

    A burn rate of 1 uses up exactly the budget over the window; one of
    2 uses it up in half the time.
    """

    window: BurnWindow
    counts: BurnCounts
    availability_burn: float
    latency_burn: float


@dataclass(frozen=True, slots=True)
class SubjectBurn:
    """Show all windows of a subject and what its budgets have left.

    The remaining shares are of the longest window and fall below 0
    when the promise is broken.
    """

    subject: BurnSubject
    windows: tuple[WindowBurn, ...]
    availability_remaining: float
    latency_remaining: float
