"""The upstreams beside a node and their announcements."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import structlog
from result import Ok

from rhubarbhollow_calls.io_local_upstream import LocalUpstream
from rhubarbhollow_daemon.endpoint_view import name_endpoint
from rhubarbhollow_distribution.endpoint_report import EndpointReport

if TYPE_CHECKING:
    from result import Result

    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_daemon.outbox import Outbox
    from rhubarbhollow_distribution.announcement import Announcement
    from rhubarbhollow_distribution.endpoint_record import EndpointRecord
    from rhubarbhollow_distribution.upstream_registry import (
        TooManyUpstreams,
        UnknownUpstream,
        UpstreamRegistry,
    )

_log = structlog.get_logger()


class LocalUpstreams:
    """Apply announcements to the call path and report them."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        registry: UpstreamRegistry,
        call_node: CallNode,
        outbox: Outbox,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._local: LocalUpstream | None = None
        self._registry = registry
        self._call_node = call_node
        self._outbox = outbox
        self._is_leaving = False

    @property
    def announcements(self) -> tuple[Announcement, ...]:
        """Return the latest announcement of each upstream."""
        return self._registry.announcements

    def announce(
        self,
        announcement: Announcement,
    ) -> Result[EndpointRecord, TooManyUpstreams]:
        """Register an upstream or renew its lease.

        While the node leaves, every announcement counts as leaving.
        """
        if self._is_leaving:
            # The upstream keeps renewing its lease, since it does not
            # know that the node is draining.
            announcement = replace(announcement, is_leaving=True)
        outcome = self._registry.announce(announcement)
        if isinstance(outcome, Ok):
            self._apply_changes()
        return outcome

    def withdraw(self, name: str) -> Result[EndpointRecord, UnknownUpstream]:
        """Remove an upstream immediately."""
        outcome = self._registry.withdraw(name)
        if isinstance(outcome, Ok):
            self._apply_changes()
        return outcome

    def leave_all(self) -> None:
        """Report every upstream here as leaving from now on."""
        self._is_leaving = True
        self._registry.leave_all()
        self._apply_changes()

    def expire(self) -> None:
        """Remove every upstream whose lease has ended."""
        self._registry.expire()
        self._apply_changes()

    def _apply_changes(self) -> None:
        local = self._select_local()
        if local != self._local:
            # Its address is used by this node only: endpoint records
            # hold the node's address, so a new upstream address changes
            # no record and is applied only here.
            self._local = local
            self._call_node.set_local_upstream(local)
        changed = self._registry.take_changes()
        if not changed:
            return
        self._outbox.put(EndpointReport(changed))
        for record in changed:
            _log.info(
                "upstream_changed",
                upstream=record.name,
                service=record.service,
                state=record.state,
                sequence=record.sequence,
            )

    def _select_local(self) -> LocalUpstream | None:
        listed = sorted(
            self._registry.announcements,
            key=lambda announcement: announcement.is_leaving,
        )
        if not listed:
            return None
        announcement = listed[0]
        return LocalUpstream(
            name=name_endpoint(self._node, announcement.name),
            service=announcement.service,
            host=announcement.host,
            port=announcement.port,
            slots=announcement.slots,
            connections=announcement.connections,
            incarnation=announcement.started_at_ms or self._incarnation,
            instance=announcement.name,
            is_leaving=announcement.is_leaving,
        )
