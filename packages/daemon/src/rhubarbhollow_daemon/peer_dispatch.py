"""Dispatch of messages from other control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import (
    NodesAnswer,
    NodesRequest,
    ProposeAnswer,
    ProposeRequest,
)
from rhubarbhollow_daemon.node_messages import BurnAnswer, BurnRequest
from rhubarbhollow_daemon.submission_kind import SubmissionKind
from rhubarbhollow_distribution.control_address import is_usable
from rhubarbhollow_distribution.control_list import ControlList
from rhubarbhollow_quota.messages import QuotaGrant, QuotaReport
from rhubarbhollow_replication.messages import PeerMessage, sender_of

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from rhubarbhollow_daemon.burn_collection import BurnCollection
    from rhubarbhollow_daemon.control_instance import ControlInstance
    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_daemon.fleet import Fleet
    from rhubarbhollow_daemon.leader_relay import LeaderRelay
    from rhubarbhollow_daemon.messages import PeerHello
    from rhubarbhollow_daemon.release_log import ReleaseLog

_log = structlog.get_logger()


class PeerDispatcher:
    """Dispatch each message to the component that handles it."""

    def __init__(
        self,
        parts: ControlParts,
        instance: ControlInstance,
        relay: LeaderRelay,
        fleet: Fleet,
        burn: BurnCollection,
        group: TaskGroup,
        log: ReleaseLog | None = None,
    ) -> None:
        self._parts = parts
        self._instance = instance
        self._relay = relay
        self._fleet = fleet
        self._burn = burn
        self._group = group
        self._log = log

    def dispatch(self, hello: PeerHello, message: object) -> None:
        """Dispatch a message without waiting for its handler."""
        if isinstance(message, PeerMessage) and not self._is_from_member(
            hello.control, message
        ):
            return
        if isinstance(message, QuotaReport | QuotaGrant):
            self._parts.quota.handle_peer_message(hello.control, message)
        elif hello.group == LogGroup.CLAIMS:
            self._dispatch_claims(hello.control, message)
        else:
            self._dispatch_releases(hello.control, message)

    def _is_from_member(self, control: str, message: PeerMessage) -> bool:
        """Return whether a log's message is its connection's own.

        A message in another member's name could show a replica two
        leaders of one term, which ends the process.
        """
        sender = sender_of(message)
        if sender == control and control in self._parts.directory.names:
            return True
        _log.warning(
            "peer_message_refused",
            peer=control,
            sender=sender,
            message=type(message).__name__,
        )
        return False

    def _merge_directory(self, control: str, message: ControlList) -> None:
        usable = tuple(filter(is_usable, message.controls))
        if len(usable) < len(message.controls):
            _log.warning(
                "control_addresses_refused",
                peer=control,
                count=len(message.controls) - len(usable),
            )
        self._parts.directory.merge(usable)

    def _dispatch_claims(self, control: str, message: object) -> None:
        claims = self._parts.claims
        if claims is None:
            _log.warning("claims_not_kept", peer=control)
            return
        if isinstance(message, PeerMessage):
            claims.replica.receive(message)
            return
        match message:
            case ProposeRequest():
                self._group.start_soon(
                    claims.service.serve_peer,
                    control,
                    message,
                )
            case ProposeAnswer():
                claims.service.deliver_answer(message)
            case _:
                _log.warning(
                    "peer_message_unexpected",
                    peer=control,
                    message=type(message).__name__,
                )

    def _dispatch_releases(self, control: str, message: object) -> None:
        if isinstance(message, PeerMessage):
            self._parts.replica.receive(message)
            return
        match message:
            case ProposeRequest():
                self._dispatch_request(control, message)
            case ProposeAnswer():
                # Each relay ignores answers to requests of the other.
                self._relay.deliver_answer(message)
                if self._log is not None:
                    self._log.deliver_answer(message)
            case NodesRequest(request_id):
                nodes = self._fleet.own_nodes()
                answer = NodesAnswer(request_id, nodes)
                self._parts.links.send(control, answer)
            case BurnRequest():
                self._group.start_soon(self._burn.serve, control, message)
            case BurnAnswer():
                self._burn.deliver_from_peer(message)
            case NodesAnswer():
                self._fleet.deliver(message)
            case ControlList():
                self._merge_directory(control, message)
            case _:
                self._instance.serve_peer(control, message)

    def _dispatch_request(self, control: str, request: ProposeRequest) -> None:
        if request.kind == SubmissionKind.RELEASE:
            self._group.start_soon(self._relay.serve, control, request)
        elif self._log is not None:
            self._group.start_soon(self._log.serve, control, request)
        else:
            _log.warning("commands_not_served", peer=control)
