"""The child's side: when to report which tenants, and to whom."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from rhubarbhollow_quota.messages import UNIT, QuotaReport
from rhubarbhollow_quota.timing import (
    RENEW_SECONDS,
    REPORT_SECONDS,
    URGENT_SECONDS,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_quota.messages import QuotaClaim, QuotaGrant

# Reports whose answers may still arrive.
MAX_OPEN_REPORTS: Final = 256
# Changes of demand that are reported before the next renewal.
_CHANGE_SHARE: Final = 0.25
_CHANGE_LEAST: Final = 0.5
_SPENT_LEAST: Final = 0.5
# A parent without tokens is asked again after this time at the latest,
# since others may have returned some.
MAX_HOLD_SECONDS: Final = 0.25
_LONG_AGO: Final = float("-inf")
_MS: Final = 1000


class ReportOwner(Protocol):
    """Know the shares and the demand that are reported."""

    def tenants(self) -> Iterable[str]:
        """Return the tenants with a share or demand."""
        ...

    def demand(self, tenant: str, now: float) -> float:
        """Return the demand for a tenant, per second."""
        ...

    def held(self, tenant: str, now: float) -> float:
        """Return the tokens held or due from the current parent."""
        ...

    def claim(self, tenant: str, now: float) -> QuotaClaim:
        """Return what to report; give back what is not needed."""
        ...


@dataclass(slots=True)
class _State:
    demand: float = 0.0
    held: float = 0.0
    reported_at: float = _LONG_AGO
    hold_until: float = _LONG_AGO
    is_wanted: bool = False
    has_shrunk: bool = False


class Reporter:
    """Decide when a report is due, and match grants with reports."""

    def __init__(
        self, child: str, incarnation: int, owner: ReportOwner
    ) -> None:
        self._child = child
        self._incarnation = incarnation
        self._owner = owner
        self._number = 0
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._states: dict[str, _State] = {}
        self._regular_at = _LONG_AGO
        self._target = 0
        self.parent = ""
        self.epoch = 0

    @property
    def target(self) -> int:
        """Return the epoch that reports are meant for, zero if any."""
        return self._target

    def restart(self, target: int = 0) -> None:
        """Report everything soon, since the parent is another one."""
        self._target = max(self._target, target)
        for state in self._states.values():
            state.reported_at = state.hold_until = _LONG_AGO
        self._regular_at = _LONG_AGO

    def want(self, tenant: str, now: float) -> bool:
        """Ask for a token; return false if the parent has none yet."""
        state = self._state(tenant)
        if now < state.hold_until:
            return False
        state.is_wanted = True
        return True

    def note_shrunk(self, tenant: str) -> None:
        """Confirm a reduced share with the next report."""
        self._state(tenant).has_shrunk = True

    def seconds_until_retry(self, tenant: str, now: float) -> float:
        """Return when the parent may have a token again."""
        state = self._states.get(tenant)
        return 0.0 if state is None else max(0.0, state.hold_until - now)

    def poll(self, now: float) -> QuotaReport | None:
        """Return the report that is due, if one is."""
        is_regular = now >= self._regular_at + REPORT_SECONDS
        due = [
            tenant
            for tenant in self._owner.tenants()
            if self._is_due(tenant, now, is_regular=is_regular)
        ]
        if not due:
            return None
        if is_regular:
            self._regular_at = now
        self._number += 1
        self._sent_at[self._number] = now
        if len(self._sent_at) > MAX_OPEN_REPORTS:
            self._sent_at.popitem(last=False)
        return QuotaReport(
            self._child,
            self._incarnation,
            self._number,
            self.parent,
            self.epoch,
            self._target,
            tuple(self._claim(tenant, now) for tenant in due),
        )

    def accept(self, grant: QuotaGrant, now: float) -> float | None:
        """Return when the answered report was sent, if it is known."""
        if grant.epoch < self._target:
            return None
        sent_at = self._sent_at.get(grant.answers)
        if sent_at is None:
            return None
        self.parent, self.epoch = grant.parent, grant.epoch
        for share in grant.shares:
            state = self._state(share.tenant)
            limit = (share.burst + share.excess) / UNIT
            state.held = max(state.held, limit)
            if share.retry_ms:
                hold = min(MAX_HOLD_SECONDS, share.retry_ms / _MS)
                state.hold_until = now + hold
        return sent_at

    def forget(self, tenant: str) -> None:
        """Drop the state of a tenant without a quota."""
        self._states.pop(tenant, None)

    def _state(self, tenant: str) -> _State:
        return self._states.setdefault(tenant, _State())

    def _is_due(self, tenant: str, now: float, *, is_regular: bool) -> bool:
        state = self._state(tenant)
        age = now - state.reported_at
        if state.is_wanted or state.has_shrunk:
            return age >= URGENT_SECONDS
        if not is_regular:
            return False
        demand = self._owner.demand(tenant, now)
        if (demand > 0.0) != (state.demand > 0.0):
            return True
        change = abs(demand - state.demand)
        if change > max(_CHANGE_LEAST, _CHANGE_SHARE * state.demand):
            return True
        held = self._owner.held(tenant, now)
        if held < state.held - _SPENT_LEAST:
            # Room for spent tokens is free again once it is reported.
            return True
        state.held = max(state.held, held)
        if demand <= 0.0 and held <= 0.0:
            return False
        return age >= RENEW_SECONDS

    def _claim(self, tenant: str, now: float) -> QuotaClaim:
        state = self._state(tenant)
        state.reported_at = now
        state.is_wanted = state.has_shrunk = False
        state.demand = self._owner.demand(tenant, now)
        claim = self._owner.claim(tenant, now)
        state.held = claim.burst / UNIT
        return claim
