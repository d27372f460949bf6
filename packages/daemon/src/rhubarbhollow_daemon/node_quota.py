"""A node's part in the quotas: it reports demand and applies grants."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog

from rhubarbhollow_calls.io_quota import QuotaPort
from rhubarbhollow_daemon.quota_reading import quotas_of_tenants
from rhubarbhollow_quota.gate import QuotaGate
from rhubarbhollow_quota.tolerance import NO_TOLERANCE, QuotaTolerance

if TYPE_CHECKING:
    from rhubarbhollow_daemon.outbox import Outbox
    from rhubarbhollow_quota.account import Account
    from rhubarbhollow_quota.messages import QuotaGrant
    from rhubarbhollow_tenants.directory import TenantDirectory
    from rhubarbhollow_wire.clock import MonotonicClock

TICK_SECONDS: Final = 0.02
# Without requests of limited tenants there is nothing to report.
IDLE_SECONDS: Final = 1.0

_log = structlog.get_logger()


class NodeQuota:
    """Send reports when they are due, and hand grants to the gate."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        outbox: Outbox,
        clock: MonotonicClock,
        tolerance: QuotaTolerance = NO_TOLERANCE,
    ) -> None:
        self._tolerance = tolerance
        self._outbox = outbox
        self._clock = clock
        self._gate = QuotaGate(node, incarnation)
        self._woken = anyio.Event()
        self.port = QuotaPort(self._gate, clock, self._wake)
        self._tenants: TenantDirectory | None = None

    @property
    def gate(self) -> QuotaGate:
        """Return the gate that admits requests."""
        return self._gate

    def share_of(self, account: Account) -> float:
        """Return the rate held here of an account's quota."""
        return account.rate(self._clock.monotonic())

    def install(self, tenants: TenantDirectory) -> None:
        """Use the quotas of the release that has come into force."""
        if tenants is self._tenants:
            return
        self._tenants = tenants
        quotas = quotas_of_tenants(tenants.tenants, self._tolerance)
        self._gate.set_quotas(quotas, self._clock.monotonic())

    def set_connected(self, is_connected: bool) -> None:
        """Note whether a control instance is connected."""
        self._gate.set_connected(is_connected)
        if is_connected:
            self._wake()

    def raise_incarnation(self, incarnation: int) -> None:
        """Continue as a later incarnation."""
        self._gate.raise_incarnation(incarnation)

    def handle_grant(self, grant: QuotaGrant) -> None:
        """Apply a grant, and decide on the calls that wait for it."""
        now = self._clock.monotonic()
        self.port.resume(self._gate.handle_grant(grant, now))

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            report = self._gate.poll(self._clock.monotonic())
            if report is not None:
                self._outbox.put(report)
            seconds = TICK_SECONDS if self._gate.accounts else IDLE_SECONDS
            with anyio.move_on_after(seconds):
                await self._woken.wait()
            if self._woken.is_set():
                self._woken = anyio.Event()

    def _wake(self) -> None:
        self._woken.set()
