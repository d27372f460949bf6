"""Quotas at a control instance: its nodes' shares, and the leader's."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog

from rhubarbhollow_daemon.quota_reading import (
    past_quotas,
    quotas_of_resources,
)
from rhubarbhollow_quota.allocator import Allocator
from rhubarbhollow_quota.branch import QuotaBranch
from rhubarbhollow_quota.division import is_split
from rhubarbhollow_quota.messages import QuotaGrant, QuotaReport
from rhubarbhollow_quota.root import RootCapacity
from rhubarbhollow_quota.tolerance import NO_TOLERANCE, QuotaTolerance

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_daemon.node_link import NodeLink
    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_quota.quota import Quota
    from rhubarbhollow_replication.replica import Replica
    from rhubarbhollow_replication.status import ReplicaStatus
    from rhubarbhollow_wire.clock import MonotonicClock

TICK_SECONDS: Final = 0.02
# Without a quota in force there is nothing to do but to notice one.
IDLE_SECONDS: Final = 0.1
# A pool counts from its first use, so the first fill starts it.
FILL_SECONDS: Final = 1.0
FIRST_TERM: Final = 1

_log = structlog.get_logger()


class QuotaService:
    """Lease to nodes, report to the leader, and lease as the leader.

    The leader of the release log holds the whole quotas for as long as
    its lease of the log is live: no other leader is elected meanwhile.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        replica: Replica,
        machine: ReleaseMachine,
        links: PeerLinks,
        clock: MonotonicClock,
        tolerance: QuotaTolerance = NO_TOLERANCE,
    ) -> None:
        self._name = name
        self._tolerance = tolerance
        self._replica = replica
        self._machine = machine
        self._links = links
        self._clock = clock
        self._branch = QuotaBranch(name, incarnation)
        self._node_links: dict[str, NodeLink] = {}
        self._quotas: Mapping[str, Quota] = {}
        self._position = 0
        self._root: Allocator | None = None
        self._root_source: RootCapacity | None = None
        self._root_term = 0
        self._fill_at = 0.0
        self._term = 0

    @property
    def is_leading(self) -> bool:
        """Return whether this instance leases whole quotas."""
        return self._root is not None

    @property
    def has_quotas(self) -> bool:
        """Return whether the release in force limits a tenant."""
        return bool(self._quotas)

    async def run(self) -> None:
        """Renew, report and serve what waits, until cancelled."""
        while True:
            self.tick()
            await anyio.sleep(TICK_SECONDS if self._quotas else IDLE_SECONDS)

    def tick(self) -> None:
        """Follow the log, and send what is due."""
        now = self._clock.monotonic()
        status = self._replica.status
        self._follow_release()
        self._follow_leadership(status, now)
        if not self._quotas:
            return
        if self._root is not None:
            self._fill(self._root, now)
            for child, grant in self._root.serve_waiting(now):
                self._send_to_control(child, grant)
        for node, grant in self._branch.allocator.serve_waiting(now):
            self._send_to_node(node, grant)
        self._report(status, now)

    def _fill(self, root: Allocator, now: float) -> None:
        """Let the pools of tenants without demand fill as well."""
        if now >= self._fill_at:
            self._fill_at = now + FILL_SECONDS
            root.fill(self._quotas, now)

    def handle_node_report(self, link: NodeLink, report: QuotaReport) -> None:
        """Answer a node's report."""
        if report.child != link.hello.node:
            _log.warning("quota_report_refused", node=link.hello.node)
            return
        now = self._clock.monotonic()
        self._node_links[report.child] = link
        status = self._replica.status
        grant = self._branch.handle_report(
            report, now, can_ask=status.leader is not None
        )
        if grant is not None:
            link.outbox.put(grant)
        self._report(status, now)

    def handle_peer_message(self, control: str, message: object) -> None:
        """Handle a report or a grant of another control instance."""
        match message:
            case QuotaReport(child) if child == control:
                self._serve_control(message)
            case QuotaGrant(parent="") if control == self._leader:
                self._apply(message)
            case _:
                _log.info("quota_message_ignored", peer=control)

    @property
    def _leader(self) -> str | None:
        return self._replica.status.leader

    def _report(self, status: ReplicaStatus, now: float) -> None:
        if status.leader is None or not self._quotas:
            return
        if status.term != self._term:
            self._term = status.term
            self._branch.reporter.restart(status.term)
        report = self._branch.poll(now)
        if report is None:
            return
        if status.leader == self._name:
            self._serve_control(report)
        else:
            self._links.send(status.leader, report)

    def _serve_control(self, report: QuotaReport) -> None:
        now = self._clock.monotonic()
        self._follow_leadership(self._replica.status, now)
        if self._root is None:
            return
        grant = self._root.handle(report, now)
        if grant is not None:
            self._send_to_control(report.child, grant)

    def _send_to_control(self, name: str, grant: QuotaGrant) -> None:
        if name == self._name:
            self._apply(grant)
        else:
            self._links.send(name, grant)

    def _apply(self, grant: QuotaGrant) -> None:
        now = self._clock.monotonic()
        for node, answer in self._branch.handle_grant(grant, now):
            self._send_to_node(node, answer)

    def _send_to_node(self, name: str, grant: QuotaGrant) -> None:
        link = self._node_links.get(name)
        if link is not None and not link.is_ended:
            link.outbox.put(grant)

    def _follow_release(self) -> None:
        active = self._machine.ledger.active
        if active is None or active.position == self._position:
            return
        self._position = active.position
        quotas = quotas_of_resources(active.resources, self._tolerance)
        if quotas == self._quotas:
            return
        self._quotas = quotas
        self._branch.set_quotas(quotas)
        if self._root_source is not None:
            self._root_source.set_quotas(quotas)
        _log.info(
            "quotas_in_force", position=active.position, tenants=len(quotas)
        )

    def _follow_leadership(self, status: ReplicaStatus, now: float) -> None:
        is_leading = status.is_leader and status.is_fresh
        if not is_leading:
            if self._root is not None:
                _log.info("quota_leadership_ended", term=status.term)
            self._root = self._root_source = None
            return
        if self._root is not None and self._root_term == status.term:
            return
        self._begin_leading(status, now)

    def _begin_leading(self, status: ReplicaStatus, now: float) -> None:
        self._follow_release()
        # No leader came before the first term.
        is_first = status.term <= FIRST_TERM
        past: Mapping[str, set[Quota]] = {}
        if not is_first:
            past = past_quotas(self._machine.ledger, self._tolerance)
        unsplit = [
            name
            for name, quotas in past.items()
            if len(quotas) == 1 and not any(map(is_split, quotas))
        ]
        source = RootCapacity(
            self._quotas, past.keys(), now, unsplit, len(status.members) + 1
        )
        self._root_source = source
        self._root = Allocator("", status.term, source, has_leaves=False)
        self._root_term = status.term
        self._fill_at = 0.0
        _log.info(
            "quota_leadership_begun",
            term=status.term,
            tenants=len(self._quotas),
            inherited=len(past),
        )
