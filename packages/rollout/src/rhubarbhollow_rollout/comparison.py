"""Comparison of two versions at the same time and in the same place.

Calls are compared within strata: one route, one control instance and a
short time. In each, the new version is expected to have its part of the
bad calls of both. A slow day or a slow data centre raises the figures
of both versions and is not attributed to one of them, and neither is a
change of the share.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Final

# Excess within this time is judged beside the whole rollout, so that a
# version that becomes bad late is not hidden by its good beginning.
RECENT_SECONDS: Final = 6.0
# A stratum is compared with earlier ones if the old version has less
# than this many calls for each of the new one, as while all calls are
# handed over.
MIN_STABLE_RATIO: Final = 0.5
# The least share of bad calls that is expected from earlier strata.
MIN_EXPECTED_SHARE: Final = 0.01


@dataclass(frozen=True, slots=True)
class Stratum:
    """Count the calls and the bad ones among them, by version."""

    stable_calls: int
    stable_bad: int
    new_calls: int
    new_bad: int


@dataclass(frozen=True, slots=True)
class Excess:
    """Compare the bad calls of a new version with the expected ones.

    ``pooled`` are the bad calls of both versions in the strata that
    both had calls in. ``lone_observed`` and ``lone_expected`` belong to
    the other strata.
    """

    calls: int = 0
    observed: int = 0
    expected: float = 0.0
    pooled: int = 0
    lone_observed: int = 0
    lone_expected: float = 0.0

    def __add__(self, other: Excess) -> Excess:
        return Excess(
            self.calls + other.calls,
            self.observed + other.observed,
            self.expected + other.expected,
            self.pooled + other.pooled,
            self.lone_observed + other.lone_observed,
            self.lone_expected + other.lone_expected,
        )

    @property
    def bad(self) -> int:
        """Return the bad calls of the new version."""
        return self.observed + self.lone_observed

    @property
    def share(self) -> float:
        """Return the share of calls that are bad beyond expectation."""
        if not self.calls:
            return 0.0
        expected = self.expected + self.lone_expected
        return (self.bad - expected) / self.calls

    @property
    def strength(self) -> float:
        """Return the logarithm of how improbable so many bad calls are.

        A version like the old one has so many with a probability of at
        most e to the power of minus this: Chernoff's bound for the
        number of the pooled bad calls that fall to the new version,
        and for a Poisson variable where only the new one had calls.
        """
        strength = 0.0
        if self.observed > self.expected > 0:
            strength += self.observed * math.log(self.observed / self.expected)
            rest = self.pooled - self.observed
            if rest:
                expected = self.pooled - self.expected
                strength += rest * math.log(rest / expected)
        if self.lone_observed > self.lone_expected > 0:
            ratio = self.lone_observed / self.lone_expected
            strength += self.lone_observed * math.log(ratio)
            strength -= self.lone_observed - self.lone_expected
        return strength


class Comparison:
    """Sum up the strata of one route and one kind of bad call.

    Without ``uses_history`` a stratum with few calls to the old version
    is left out: how long calls take depends on the load at that time.
    """

    def __init__(self, *, uses_history: bool) -> None:
        self._uses_history = uses_history
        self._stable_calls = 0
        self._stable_bad = 0
        self._whole = Excess()
        self._recent: deque[tuple[float, Excess]] = deque()

    def add(self, stratum: Stratum, now: float) -> None:
        """Add the counts of a short time that ends now."""
        excess = self._compare(stratum)
        self._stable_calls += stratum.stable_calls
        self._stable_bad += stratum.stable_bad
        if excess is not None:
            self._whole += excess
            self._recent.append((now, excess))

    def whole(self) -> Excess:
        """Return the excess since the order."""
        return self._whole

    def recent(self, now: float) -> Excess:
        """Return the excess of the last seconds."""
        while self._recent and self._recent[0][0] < now - RECENT_SECONDS:
            self._recent.popleft()
        return sum((excess for _, excess in self._recent), Excess())

    def _compare(self, stratum: Stratum) -> Excess | None:
        calls, bad = stratum.new_calls, stratum.new_bad
        if not calls:
            return None
        if stratum.stable_calls >= MIN_STABLE_RATIO * calls:
            pooled = bad + stratum.stable_bad
            part = calls / (calls + stratum.stable_calls)
            return Excess(calls, bad, pooled * part, pooled)
        if not self._uses_history:
            return None
        share = MIN_EXPECTED_SHARE
        if self._stable_calls:
            share = max(share, self._stable_bad / self._stable_calls)
        return Excess(calls, lone_observed=bad, lone_expected=calls * share)
