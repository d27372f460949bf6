"""The quotas at a node, which admits requests against its shares."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from rhubarbhollow_quota.account import Account
from rhubarbhollow_quota.reporter import Reporter
from rhubarbhollow_quota.verdict import (
    ADMITTED,
    UNCONFIRMED,
    WAIT,
    OverQuota,
    Verdict,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rhubarbhollow_quota.messages import (
        QuotaClaim,
        QuotaGrant,
        QuotaReport,
    )
    from rhubarbhollow_quota.quota import Quota

# A parent that has not answered for this long counts as unreachable.
ANSWER_SECONDS: Final = 3.0
MIN_RETRY_SECONDS: Final = 0.05
MAX_RETRY_SECONDS: Final = 2.0


class LimitedTenant(Protocol):
    """A tenant of the release in force."""

    @property
    def name(self) -> str:
        """Return the tenant's name."""
        ...

    @property
    def rate(self) -> float:
        """Return the requests per second; zero for no limit."""
        ...

    @property
    def burst(self) -> float:
        """Return the requests that may come at once."""
        ...


class QuotaGate:
    """Admit requests of tenants with a quota, and report demand.

    Shares are kept by the parent that leased them: those of an earlier
    parent stay usable until they end.
    """

    def __init__(self, node: str, incarnation: int) -> None:
        self._node = node
        self._accounts: dict[str, Account] = {}
        self._quotas: Mapping[str, Quota] = {}
        self._reporter = Reporter(node, incarnation, self)
        self._is_connected = False
        self._answered_at = float("-inf")

    @property
    def accounts(self) -> Mapping[str, Account]:
        """Return the accounts of tenants that have sent requests."""
        return self._accounts

    @property
    def is_wanting(self) -> bool:
        """Return whether requests wait for an urgent report."""
        return any(account.waiting for account in self._accounts.values())

    def set_quotas(self, quotas: Mapping[str, Quota], now: float) -> None:
        """Use the quotas of the release in force."""
        self._quotas = quotas
        for name in tuple(self._accounts):
            quota = quotas.get(name)
            if quota is None:
                del self._accounts[name]
                self._reporter.forget(name)
            else:
                self._accounts[name].rescale(quota, now)

    def set_connected(self, is_connected: bool) -> None:
        """Note whether a parent is connected, which may be new."""
        self._is_connected = is_connected
        if is_connected:
            self._reporter.restart()

    def raise_incarnation(self, incarnation: int) -> None:
        """Continue as a later incarnation, which holds nothing."""
        self._accounts.clear()
        self._reporter = Reporter(self._node, incarnation, self)

    def admit(self, tenant: LimitedTenant, now: float) -> Verdict:
        """Count a new request and decide on it.

        After ``Wait``, call ``resume`` when a grant has arrived and
        ``give_up`` when the time to wait has passed.
        """
        account = self._account(tenant.name)
        if account is None:
            return ADMITTED
        account.meter.record(now)
        if account.take(now):
            return ADMITTED
        if self._is_connected and self._reporter.want(tenant.name, now):
            account.waiting += 1
            return WAIT
        return self._reject(account, now)

    def resume(self, tenant: LimitedTenant, now: float) -> Verdict:
        """Decide again on a request that waits."""
        account = self._account(tenant.name)
        if account is None:
            return ADMITTED
        if account.take(now):
            account.waiting = max(0, account.waiting - 1)
            self._note_spent(tenant.name, account)
            return ADMITTED
        hold = self._reporter.seconds_until_retry(tenant.name, now)
        if hold <= 0.0 and self._is_connected:
            self._reporter.want(tenant.name, now)
            return WAIT
        return self.give_up(tenant, now)

    def give_up(self, tenant: LimitedTenant, now: float) -> Verdict:
        """Decide on a request that must not wait any longer."""
        account = self._account(tenant.name)
        if account is None:
            return ADMITTED
        account.waiting = max(0, account.waiting - 1)
        if account.take(now):
            return ADMITTED
        return self._reject(account, now)

    def _note_spent(self, name: str, account: Account) -> None:
        if account.has_spent_gift:
            account.has_spent_gift = False
            self._reporter.note_shrunk(name)

    def forget(self, tenant: LimitedTenant) -> None:
        """Drop a request that waits, since its caller has gone."""
        account = self._accounts.get(tenant.name)
        if account is not None:
            account.waiting = max(0, account.waiting - 1)

    def poll(self, now: float) -> QuotaReport | None:
        """Return the report that is due, if one is."""
        if not self._is_connected or not self._accounts:
            return None
        return self._reporter.poll(now)

    def handle_grant(self, grant: QuotaGrant, now: float) -> list[str]:
        """Apply a grant; return the tenants that it names."""
        sent_at = self._reporter.accept(grant, now)
        if sent_at is None:
            return []
        self._answered_at = now
        key = (grant.parent, grant.epoch)
        for share in grant.shares:
            quota = self._quotas.get(share.tenant)
            account = self._accounts.get(share.tenant)
            if quota is None or account is None:
                continue
            if account.apply(share, key, grant.number, sent_at, now, quota):
                self._reporter.note_shrunk(share.tenant)
        return [share.tenant for share in grant.shares]

    def tenants(self) -> Iterable[str]:
        """Return the tenants with an account."""
        return self._accounts.keys()

    def demand(self, tenant: str, now: float) -> float:
        """Return the demand beyond the shares of earlier parents."""
        return self._accounts[tenant].open_demand(self._key, now)

    def held(self, tenant: str, now: float) -> float:
        """Return the tokens held or due from the current parent."""
        return self._accounts[tenant].held(self._key, now)

    def claim(self, tenant: str, now: float) -> QuotaClaim:
        """Return what to report of a tenant."""
        return self._accounts[tenant].claim(tenant, self._key, now)

    @property
    def _key(self) -> tuple[str, int]:
        return (self._reporter.parent, self._reporter.epoch)

    def _account(self, name: str) -> Account | None:
        account = self._accounts.get(name)
        if account is None:
            quota = self._quotas.get(name)
            if quota is None:
                return None
            account = self._accounts[name] = Account(quota)
        return account

    def _reject(self, account: Account, now: float) -> Verdict:
        rate = account.rate(now)
        is_silent = now - self._answered_at > ANSWER_SECONDS
        if rate <= 0.0 and (is_silent or not self._is_connected):
            account.unconfirmed += 1
            return UNCONFIRMED
        account.rejected += 1
        return OverQuota(self._retry_after(account, rate, now))

    def _retry_after(self, account: Account, rate: float, now: float) -> float:
        """Return when this request would be the next one served.

        Each rejection takes the next token to come, so that rejected
        clients do not all return for the same one.
        """
        turn = account.next_turn(rate, now)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, turn - now))
