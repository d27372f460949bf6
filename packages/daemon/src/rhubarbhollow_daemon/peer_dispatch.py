"""Sorting of what other control instances say."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_daemon.messages import (
    NodesAnswer,
    NodesRequest,
    ProposeAnswer,
    ProposeRequest,
)
from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.chunk import SnapshotChunk, SnapshotReply
from rhubarbhollow_replication.vote import VoteReply, VoteRequest

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from rhubarbhollow_daemon.control_instance import ControlInstance
    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_daemon.fleet import Fleet
    from rhubarbhollow_daemon.leader_relay import LeaderRelay


class PeerDispatch:
    """Give each message to the task that it is for."""

    def __init__(
        self,
        parts: ControlParts,
        instance: ControlInstance,
        relay: LeaderRelay,
        fleet: Fleet,
        group: TaskGroup,
    ) -> None:
        self._parts = parts
        self._instance = instance
        self._relay = relay
        self._fleet = fleet
        self._group = group

    def take(self, control: str, message: object) -> None:
        """Pass a message on without waiting."""
        match message:
            case (
                AppendRequest()
                | AppendReply()
                | SnapshotChunk()
                | SnapshotReply()
                | VoteRequest()
                | VoteReply()
            ):
                self._parts.replica.receive(message)
            case ProposeRequest():
                self._group.start_soon(self._relay.serve, control, message)
            case ProposeAnswer():
                self._relay.take_answer(message)
            case NodesRequest(request_id):
                nodes = self._fleet.own_nodes()
                answer = NodesAnswer(request_id, nodes)
                self._parts.links.send(control, answer)
            case NodesAnswer():
                self._fleet.take(message)
            case _:
                self._instance.serve_peer(control, message)
