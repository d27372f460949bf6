"""The nodes connected to a control instance."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

import structlog

from rhubarbhollow_calls.quarantine_message import CrashReport, Exoneration
from rhubarbhollow_daemon.node_messages import EndpointsRequest
from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.admission import Admitted, Queued
from rhubarbhollow_distribution.endpoint_record import is_usable
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_distribution.redirect import Redirect, RedirectReason
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_distribution.staged_report import StagedReport
from rhubarbhollow_rollout.messages import RolloutReport

if TYPE_CHECKING:
    from rhubarbhollow_calls.quarantine_message import QuarantineMessage
    from rhubarbhollow_daemon.endpoint_exchange import EndpointExchange
    from rhubarbhollow_daemon.node_link import NodeLink
    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_daemon.quarantine_relay import QuarantineRelay
    from rhubarbhollow_daemon.rollout_coordinator import RolloutCoordinator
    from rhubarbhollow_daemon.rollout_feed import RolloutFeed
    from rhubarbhollow_distribution.admission import AdmissionQueue
    from rhubarbhollow_distribution.control_directory import ControlDirectory
    from rhubarbhollow_distribution.endpoint_store import EndpointStore
    from rhubarbhollow_distribution.ledger_view import LedgerView
    from rhubarbhollow_distribution.node_register import NodeRegister
    from rhubarbhollow_distribution.welcome import Welcome
    from rhubarbhollow_wire.clock import Clock

# The delay before a node whose admission was refused connects again.
REJOIN_DELAY_MS: Final = 500

_log = structlog.get_logger()


class NodeConnections:
    """Admit nodes, apply their reports and send them their updates.

    Only the control instance's own task calls these methods, so the
    state needs no lock.
    """

    def __init__(
        self,
        welcome: Welcome,
        register: NodeRegister,
        admission: AdmissionQueue,
        store: EndpointStore,
        exchange: EndpointExchange,
        relay: QuarantineRelay,
        peers: PeerLinks,
        clock: Clock,
        lease_seconds: float,
        directory: ControlDirectory,
        rollouts: RolloutFeed,
        evidence: RolloutCoordinator,
    ) -> None:
        self._welcome = welcome
        self._register = register
        self._admission = admission
        self._store = store
        self._exchange = exchange
        self._relay = relay
        self._peers = peers
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._directory = directory
        self._rollouts = rollouts
        self._evidence = evidence
        self._links: dict[str, NodeLink] = {}
        self._waiting: dict[str, NodeLink] = {}
        self._disconnected_at: dict[str, float] = {}
        self._informed_generations: dict[str, int] = {}

    @property
    def link_count(self) -> int:
        """Return how many nodes are connected."""
        return len(self._links)

    @property
    def next_due(self) -> float:
        """Return the time when the next message is due, or infinity."""
        due = min(
            (link.due for link in self._links.values()),
            default=float("inf"),
        )
        return min(due, self._admission.next_due() or float("inf"))

    def join(self, link: NodeLink, view: LedgerView) -> None:
        """Admit a node, queue it, or redirect it with a delay."""
        match self._admission.offer(link.hello.node):
            case Admitted():
                self._admit(link, view)
            case Queued():
                self._end_replaced(self._waiting.pop(link.hello.node, None))
                self._waiting[link.hello.node] = link
            case Redirect() as redirect:
                self._redirect(link, redirect)

    def handle_message(
        self,
        link: NodeLink,
        message: object,
        view: LedgerView,
    ) -> None:
        """Handle a node's message and send the resulting updates.

        Messages of a connection that was replaced are ignored.
        """
        if self._links.get(link.hello.node) is not link:
            return
        match message:
            case EndpointReport():
                self._merge(link.hello.node, message)
                self._register.accept(link.hello.node, message)
            case (
                ActiveReport() | NodeHeartbeat() | StageRequest()
            ) | StagedReport():
                self._register.accept(link.hello.node, message)
                link.feed.accept(message)
            case RolloutReport(sequence, evidence):
                self._evidence.record_evidence(evidence)
                self._rollouts.answer(link, sequence)
            case EndpointsRequest():
                # The hello of the next connection names the table
                # version that the node has.
                link.end()
            case CrashReport() | Exoneration():
                self.forward_crash_evidence(message, is_from_peer=False)
            case _:
                _log.warning(
                    "node_message_unexpected",
                    node=link.hello.node,
                    message=type(message).__name__,
                )
                link.end()
                return
        self.feed(link, view)

    def forward_crash_evidence(
        self,
        message: QuarantineMessage,
        *,
        is_from_peer: bool,
    ) -> None:
        """Forward evidence on a request that crashes upstreams.

        Known evidence is ignored. Evidence from a peer is not sent to
        other peers, since its own instance has sent it to all of them.
        """
        if not self._relay.store_if_new(message):
            return
        _log.warning(
            "crash_evidence",
            kind=type(message).__name__,
            fingerprint=message.fingerprint.hex(),
            upstream=message.upstream,
        )
        self.broadcast(message)
        if not is_from_peer:
            self._peers.broadcast(message)

    def broadcast(self, message: object) -> None:
        """Queue a message for every connected node."""
        for link in self._links.values():
            link.outbox.put(message)

    def broadcast_within(self, data_centre: str, message: object) -> None:
        """Queue a message for the connected nodes of a data centre."""
        for link in self._links.values():
            if link.hello.data_centre == data_centre:
                link.outbox.put(message)

    def leave(self, link: NodeLink) -> None:
        """Remove a node whose connection ended.

        Releases no longer wait for it, since it may already be
        connected to another control instance. Its endpoints stay until
        its lease ends: a node that reconnects in time must not
        disappear from the endpoint tables of the mesh.
        """
        name = link.hello.node
        if self._waiting.get(name) is link:
            del self._waiting[name]
            self._admission.withdraw(name)
        if self._links.get(name) is not link:
            return
        del self._links[name]
        self._register.remove(name, link.hello.incarnation)
        self._disconnected_at[name] = self._clock.monotonic()

    def tick(self, view: LedgerView) -> None:
        """Admit queued nodes that are due and end expired leases."""
        for name in self._admission.admit_due():
            link = self._waiting.pop(name, None)
            if link is not None:
                self._admit(link, view)
        for name in self._register.expired():
            link = self._links.pop(name, None)
            if link is not None:
                self._register.remove(name, link.hello.incarnation)
                link.end()
            self._end_lease(name)
        oldest = self._clock.monotonic() - self._lease_seconds
        for name, disconnected_at in tuple(self._disconnected_at.items()):
            if disconnected_at <= oldest:
                self._end_lease(name)
        self._store.expire()
        self._send_evidence_to_peers()

    def feed_due(self, view: LedgerView) -> None:
        """Send updates to every node that is due."""
        now = self._clock.monotonic()
        for link in self._links.values():
            if link.due <= now:
                self.feed(link, view)

    def feed_all(self, view: LedgerView) -> None:
        """Send updates to all nodes after a change that affects all."""
        for link in self._links.values():
            self.feed(link, view)

    def feed(self, link: NodeLink, view: LedgerView) -> None:
        """Queue every update that the node should receive now."""
        message = link.feed.next_message(view)
        while message is not None:
            link.outbox.put(message)
            message = link.feed.next_message(view)
        self._rollouts.update(link)
        link.due = link.feed.next_due()

    def _admit(self, link: NodeLink, view: LedgerView) -> None:
        hello = link.hello
        incarnation = self._store.incarnation_for(
            hello.node, hello.incarnation
        )
        if incarnation != hello.incarnation:
            _log.warning(
                "node_clock_behind",
                node=hello.node,
                incarnation=hello.incarnation,
                raised_to=incarnation,
            )
            link.raise_incarnation(incarnation)
            hello = link.hello
        if not self._register.admit(hello):
            self._redirect(
                link,
                Redirect(int(RedirectReason.BUSY), REJOIN_DELAY_MS),
            )
            return
        tombstones = self._store.admit_node(hello.node, hello.incarnation)
        self._exchange.publish(tombstones)
        self._end_replaced(self._links.pop(link.hello.node, None))
        self._links[link.hello.node] = link
        self._disconnected_at.pop(link.hello.node, None)
        link.outbox.put(replace(self._welcome, node_incarnation=incarnation))
        link.outbox.put(self._directory.node_message)
        for message in self._relay.recent():
            link.outbox.put(message)
        _log.info(
            "node_joined",
            node=link.hello.node,
            node_data_centre=link.hello.data_centre,
            active_position=link.hello.active_position,
        )
        # Before the endpoints, whose versions it explains.
        self._rollouts.update(link)
        self.feed(link, view)

    def _redirect(self, link: NodeLink, redirect: Redirect) -> None:
        _log.info(
            "node_sent_away",
            node=link.hello.node,
            reason=RedirectReason(redirect.reason).name.lower(),
            retry_after_ms=redirect.retry_after_ms,
        )
        link.outbox.put(redirect)

    def _send_evidence_to_peers(self) -> None:
        """Send recent crash evidence on every new peer connection.

        The peer may have missed it while it was disconnected.
        """
        for name, link in self._peers.by_name.items():
            is_known = self._informed_generations.get(name) == link.generation
            if is_known or not link.is_up:
                continue
            self._informed_generations[name] = link.generation
            for message in self._relay.recent():
                link.send(message)

    def _merge(self, node: str, report: EndpointReport) -> None:
        """Merge the usable records that a node reports of itself."""
        records = tuple(
            record
            for record in report.records
            if record.node == node and is_usable(record)
        )
        if len(records) < len(report.records):
            _log.warning(
                "endpoint_records_refused",
                node=node,
                count=len(report.records) - len(records),
            )
        changed = self._store.merge(records, self._welcome.control)
        self._exchange.publish(changed)

    def _end_lease(self, name: str) -> None:
        _log.warning("node_lease_ended", node=name)
        self._disconnected_at.pop(name, None)
        self._exchange.publish(self._store.end_lease(name))

    def _end_replaced(self, link: NodeLink | None) -> None:
        if link is not None:
            link.end()
