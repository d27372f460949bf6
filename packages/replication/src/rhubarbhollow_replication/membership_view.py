"""What a leader knows when it decides on the membership."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_replication.configuration import Configuration
    from rhubarbhollow_replication.member import Member
    from rhubarbhollow_replication.progress import Progress


@dataclass(frozen=True, slots=True)
class MembershipView:
    """Hold the evidence for a change at ``now``.

    A peer is alive if it was heard within ``alive_seconds``, and
    silent if it was not heard for ``unresponsive_seconds``.
    """

    configuration: Configuration
    leader: str
    peers: Mapping[str, Progress]
    commit_index: int
    wanted_voters: int
    now: float
    alive_seconds: float
    unresponsive_seconds: float

    def is_alive(self, member: Member) -> bool:
        """Whether the member answered lately from its bound store."""
        if member.name == self.leader:
            return True
        peer = self.peers.get(member.name)
        if peer is None or peer.store_id != member.store_id:
            return False
        return self.now - peer.last_contact_at < self.alive_seconds

    def is_unresponsive(self, member: Member) -> bool:
        """Whether the member has been gone long enough to replace."""
        if member.name == self.leader:
            return False
        peer = self.peers.get(member.name)
        if peer is None:
            return False
        return self.now - peer.last_contact_at >= self.unresponsive_seconds

    def is_caught_up(self, member: Member) -> bool:
        """Whether all that is committed is durable at the member."""
        peer = self.peers.get(member.name)
        if peer is None or not self.is_alive(member):
            return False
        return peer.match_index >= self.commit_index

    def has_other_store(self, member: Member) -> bool:
        """Whether the member answered from a store not bound to it."""
        peer = self.peers.get(member.name)
        if peer is None or not peer.store_id:
            return False
        return peer.store_id != member.store_id

    def is_quorum_alive(self, proposed: Configuration) -> bool:
        """Whether the living voters can decide now and afterwards.

        The quorum before the change counts as well: a leader that is
        cut off with a minority must not shrink the group to it.
        """
        return all(
            configuration.is_quorum(
                {v.name for v in configuration.voters if self.is_alive(v)}
            )
            for configuration in (self.configuration, proposed)
        )
