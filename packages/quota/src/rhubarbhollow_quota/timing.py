"""Durations of leases and reports, in seconds."""

from __future__ import annotations

from typing import Final

# A lease is worth its full amount for this long after the report that
# it answers, and half of it until ``HALF_SECONDS``.
FULL_SECONDS: Final = 6.0
HALF_SECONDS: Final = 60.0
# Share of a lease's duration that a child uses. The rest covers clocks
# of different speed at both ends.
CHILD_SHARE: Final = 0.98
# Four regular reports a second at most between two processes.
REPORT_SECONDS: Final = 0.25
# Interval between urgent reports on one tenant.
URGENT_SECONDS: Final = 0.01
# Interval at which an unchanged lease is renewed: five reports may be
# lost before a lease falls to half.
RENEW_SECONDS: Final = 1.0
