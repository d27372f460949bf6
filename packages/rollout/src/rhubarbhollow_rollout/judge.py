"""The verdict on a new version by the evidence of all nodes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, fields
from enum import Enum, auto
from typing import TYPE_CHECKING, Final

from rhubarbhollow_rollout.comparison import Comparison, Excess, Stratum
from rhubarbhollow_rollout.messages import RolloutEvidence

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# The share is not raised at this part of the evidence that would end
# the rollout.
HOLD_SHARE: Final = 0.7
# Fewer bad calls may have a cause that has nothing to do with versions,
# such as one upstream that was restarted.
MIN_BAD: Final = 6
# The time of a stratum. Evidence of different nodes arrives up to half
# a second apart.
STRATUM_SECONDS: Final = 0.5
# Answers of the new version without which it does not complete, unless
# the service gets fewer calls than that.
MIN_ANSWERS: Final = 20
MIN_ANSWERED_SHARE: Final = 0.01


class Verdict(Enum):
    """Classify what the evidence says."""

    GOOD = auto()
    DOUBTFUL = auto()
    BAD = auto()


@dataclass(frozen=True, slots=True)
class Finding:
    """Describe the strongest evidence against the new version."""

    verdict: Verdict
    route: str = ""
    kind: str = ""
    excess: Excess | None = None


@dataclass(frozen=True, slots=True)
class _Kind:
    """Describe a kind of bad call and what is evidence of it.

    Evidence of the strength ``limit`` ends a rollout. The comparison is
    made some hundred times in a rollout, over all routes, so it has to
    be improbable. At the end, when all calls follow, ``final_limit``
    suffices. Upstreams and machines differ, so an excess of less than
    ``min_share`` of the calls is no evidence. With ``is_whole`` only
    the whole rollout counts and not its last seconds.
    """

    name: str
    limit: float
    final_limit: float
    min_share: float
    uses_history: bool
    is_whole: bool = False


# An upstream that is killed breaks the calls that it holds, so that
# breaks come several at a time, from one version by chance.
_KINDS: Final = (
    _Kind("failed", 10.0, 7.0, 0.02, uses_history=True),
    _Kind("broken", 25.0, 25.0, 0.15, uses_history=True),
    # The few upstreams exposed at a time may be on slow machines.
    _Kind("slow", 10.0, 7.0, 0.15, uses_history=False),
    # Over the steps of a rollout that evens out.
    _Kind("slow", 16.0, 16.0, 0.08, uses_history=False, is_whole=True),
)
_FIELDS: Final = tuple(
    item.name
    for item in fields(RolloutEvidence)
    if item.name.startswith(("stable_", "new_"))
)


class RolloutJudge:
    """Collect the evidence on one rollout and compare the versions.

    Control instances report totals, which may be repeated or lost on
    the way. Totals of an instance that restarted begin at zero, under
    another incarnation.
    """

    def __init__(self, number: int) -> None:
        self._number = number
        # By control instance, incarnation and route.
        self._reported: dict[tuple[str, int, str], RolloutEvidence] = {}
        # Counts since the last stratum, by control instance and route.
        self._open: dict[tuple[str, str], Counter[str]] = {}
        self._comparisons: dict[tuple[_Kind, str], Comparison] = {}
        self._closed_at = float("-inf")
        self._stable_calls = 0
        self._new_calls = 0
        self._new_bad = 0

    @property
    def number(self) -> int:
        """Return the number of the rollout."""
        return self._number

    @property
    def new_calls(self) -> int:
        """Return the ended calls to the new version."""
        return self._new_calls

    @property
    def has_enough(self) -> bool:
        """Return whether a version may be called good at all."""
        calls = self._stable_calls + self._new_calls
        needed = min(MIN_ANSWERS, max(1, MIN_ANSWERED_SHARE * calls))
        return self._new_calls - self._new_bad >= needed

    def observe(
        self,
        control: str,
        incarnation: int,
        evidence: Iterable[RolloutEvidence],
    ) -> None:
        """Add the totals that a control instance reports."""
        for item in evidence:
            if item.number != self._number:
                continue
            key = control, incarnation, item.route
            before = self._reported.get(key)
            added = {
                name: getattr(item, name)
                - (0 if before is None else getattr(before, name))
                for name in _FIELDS
            }
            if min(added.values()) < 0:
                # Totals of an incarnation never fall, so this is older.
                continue
            self._reported[key] = item
            totals = self._open.setdefault((control, item.route), Counter())
            totals.update(added)

    def close_strata(self, now: float) -> None:
        """Compare what arrived, once a stratum's time has passed."""
        if now < self._closed_at + STRATUM_SECONDS:
            return
        self._closed_at = now
        for (_, route), totals in self._open.items():
            self._add(route, totals, now)
        self._open.clear()

    def judge(self, now: float, *, is_final: bool = False) -> Finding:
        """Return the strongest evidence against the new version."""
        strongest = Finding(Verdict.GOOD)
        best = HOLD_SHARE
        for route, kind, excess in self._excesses(now):
            limit = kind.final_limit if is_final else kind.limit
            part = excess.strength / limit
            if part < best:
                continue
            best = part
            verdict = Verdict.BAD if part >= 1 else Verdict.DOUBTFUL
            strongest = Finding(verdict, route, kind.name, excess)
        return strongest

    def _excesses(self, now: float) -> Iterator[tuple[str, _Kind, Excess]]:
        for (kind, route), comparison in self._comparisons.items():
            excesses = [comparison.whole()]
            if not kind.is_whole:
                excesses.append(comparison.recent(now))
            for excess in excesses:
                if excess.bad < MIN_BAD:
                    continue
                if excess.share >= kind.min_share:
                    yield route, kind, excess

    def _add(self, route: str, totals: Counter[str], now: float) -> None:
        self._stable_calls += totals["stable_calls"]
        self._new_calls += totals["new_calls"]
        self._new_bad += totals["new_failed"] + totals["new_broken"]
        for kind in _KINDS:
            stratum = Stratum(
                totals["stable_calls"],
                min(totals[f"stable_{kind.name}"], totals["stable_calls"]),
                totals["new_calls"],
                min(totals[f"new_{kind.name}"], totals["new_calls"]),
            )
            # Beside each route the sum of all, for a version that is a
            # little bad on many.
            for name in (route, ""):
                key = kind, name
                if key not in self._comparisons:
                    self._comparisons[key] = Comparison(
                        uses_history=kind.uses_history
                    )
                self._comparisons[key].add(stratum, now)
