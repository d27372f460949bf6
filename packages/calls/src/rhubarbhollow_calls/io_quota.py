"""Admission of callers' requests against their tenants' quotas."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, Protocol

from rhubarbhollow_calls.refusal import RefusalKind
from rhubarbhollow_quota.verdict import OverQuota, Wait

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rhubarbhollow_quota.gate import QuotaGate
    from rhubarbhollow_quota.verdict import Verdict
    from rhubarbhollow_tenants.tenant import Tenant
    from rhubarbhollow_wire.clock import MonotonicClock

# Longest wait for a token, and its share of the latency objective. A
# call that waits this long can still be in time; one that is refused
# comes back later, or fails.
MAX_WAIT_SECONDS: Final = 0.2
WAIT_OBJECTIVE_SHARE: Final = 0.25


class QuotaWaiter(Protocol):
    """A call that waits for its tenant's quota."""

    def quota_decided(self, verdict: Verdict) -> None:
        """Start the call, or refuse it."""
        ...


class QuotaPort:
    """Ask the gate, and hold the calls that wait for a token.

    ``wake`` is called when a report may be due at once.
    """

    def __init__(
        self, gate: QuotaGate, clock: MonotonicClock, wake: Callable[[], None]
    ) -> None:
        self._gate = gate
        self._clock = clock
        self._wake = wake
        self._waits: dict[str, dict[QuotaWait, None]] = {}

    @property
    def gate(self) -> QuotaGate:
        """Return the gate that decides."""
        return self._gate

    def admit(self, tenant: Tenant) -> Verdict:
        """Decide on a new request of ``tenant``."""
        verdict = self._gate.admit(tenant, self._clock.monotonic())
        if isinstance(verdict, Wait):
            self._wake()
        return verdict

    def remaining(self, tenant_name: str) -> float | None:
        """Return a tenant's tokens here, or ``None`` if unlimited."""
        account = self._gate.accounts.get(tenant_name)
        if account is None:
            return None
        return account.tokens(self._clock.monotonic())

    def open_wait(self, tenant: Tenant, objective: float | None) -> QuotaWait:
        """Return the wait of a request that was told to wait."""
        seconds = MAX_WAIT_SECONDS
        if objective is not None:
            seconds = min(seconds, objective * WAIT_OBJECTIVE_SHARE)
        return QuotaWait(self, tenant, seconds)

    def resume(self, tenants: Iterable[str]) -> None:
        """Decide again on waiting calls, since a grant has arrived."""
        for name in tenants:
            for wait in tuple(self._waits.get(name, ())):
                now = self._clock.monotonic()
                verdict = self._gate.resume(wait.tenant, now)
                if isinstance(verdict, Wait):
                    self._wake()
                    break
                wait.end(verdict)

    def hold(self, wait: QuotaWait) -> None:
        """Remember a call until it is decided."""
        self._waits.setdefault(wait.tenant.name, {})[wait] = None

    def drop(self, wait: QuotaWait) -> None:
        """Forget a call that is decided or gone."""
        waits = self._waits.get(wait.tenant.name, {})
        waits.pop(wait, None)
        if not waits:
            self._waits.pop(wait.tenant.name, None)

    def give_up(self, wait: QuotaWait) -> None:
        """Decide on a call that must not wait any longer."""
        now = self._clock.monotonic()
        wait.end(self._gate.give_up(wait.tenant, now))

    def forget(self, wait: QuotaWait) -> None:
        """Drop a call whose caller has gone."""
        self.drop(wait)
        self._gate.forget(wait.tenant)


class QuotaWait:
    """One call's wait for a token."""

    __slots__ = ("_port", "_seconds", "_timer", "_waiter", "tenant")

    def __init__(
        self, port: QuotaPort, tenant: Tenant, seconds: float
    ) -> None:
        self._port = port
        self._seconds = seconds
        self._timer: asyncio.TimerHandle | None = None
        self._waiter: QuotaWaiter | None = None
        self.tenant = tenant

    def begin(self, waiter: QuotaWaiter) -> None:
        """Start to wait on behalf of ``waiter``."""
        self._waiter = waiter
        self._port.hold(self)
        self._timer = asyncio.get_running_loop().call_later(
            self._seconds, self._port.give_up, self
        )

    def end(self, verdict: Verdict) -> None:
        """Hand the verdict to the waiter."""
        self._disarm()
        self._port.drop(self)
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.quota_decided(verdict)

    def cancel(self) -> None:
        """Stop, since the call has ended for another reason."""
        self._disarm()
        self._waiter = None
        self._port.forget(self)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def refusal_of(verdict: Verdict) -> tuple[RefusalKind, str, float | None]:
    """Return the kind, the detail and the seconds to retry after."""
    if isinstance(verdict, OverQuota):
        return (
            RefusalKind.QUOTA_EXCEEDED,
            "the tenant's quota is used up",
            verdict.retry_after_seconds,
        )
    return (
        RefusalKind.QUOTA_UNCONFIRMED,
        "no share of the tenant's quota is held, and none can be asked for",
        None,
    )
