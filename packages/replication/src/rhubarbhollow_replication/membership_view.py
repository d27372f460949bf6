"""The leader's view of the members, used to plan changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhollow_replication.settings import no_place

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rhubarbhollow_replication.configuration import Configuration
    from rhubarbhollow_replication.member import Member
    from rhubarbhollow_replication.progress import Progress


@dataclass(frozen=True, slots=True)
class MembershipView:
    """The leader's view of all members at ``now``.

    A peer is alive if its last contact was less than ``alive_seconds``
    ago, and unresponsive if it was at least ``unresponsive_seconds``
    ago. ``leaving`` are the members that are about to stop.
    """

    configuration: Configuration
    leader: str
    peers: Mapping[str, Progress]
    commit_index: int
    wanted_voters: int
    now: float
    alive_seconds: float
    unresponsive_seconds: float
    place_of: Callable[[str], str] = no_place
    leaving: frozenset[str] = frozenset()

    def is_alive(self, member: Member) -> bool:
        """Return whether the member recently replied from its store.

        A learner that was just added counts as alive before its first
        reply, because its store ID is still unknown.
        """
        if member.name == self.leader:
            return True
        peer = self.peers.get(member.name)
        if peer is None or peer.store_id != member.store_id:
            return False
        return self.now - peer.last_contact_at < self.alive_seconds

    def is_unresponsive(self, member: Member) -> bool:
        """Return whether the member has stopped replying.

        Its last contact was at least ``unresponsive_seconds`` ago. The
        leader itself is never unresponsive.
        """
        if member.name == self.leader:
            return False
        peer = self.peers.get(member.name)
        if peer is None:
            return False
        return self.now - peer.last_contact_at >= self.unresponsive_seconds

    def is_departing(self, member: Member) -> bool:
        """Return whether another member should take over the vote."""
        return member.name in self.leaving or self.is_unresponsive(member)

    def last_contact_at(self, member: Member) -> float:
        """Return when the member last replied; now for the leader."""
        if member.name == self.leader:
            return self.now
        return self.peers[member.name].last_contact_at

    def is_caught_up(self, member: Member) -> bool:
        """Return whether the member has every committed entry.

        It must not be about to stop, and must have replied in the
        latter half of the time after which a voter is unresponsive. A
        member that was lost together with such a voter may still count
        as alive, and would take the quorum with it if it were promoted.
        """
        peer = self.peers.get(member.name)
        if peer is None or not self.is_alive(member):
            return False
        if member.name in self.leaving:
            return False
        silent_seconds = self.now - peer.last_contact_at
        if silent_seconds >= self.unresponsive_seconds / 2:
            return False
        return peer.match_index >= self.commit_index

    def count_neighbours(self, member: Member) -> int:
        """Return how many other voters share the member's place.

        Voters that are about to be replaced are not counted.
        """
        place = self.place_of(member.name)
        if not place:
            return 0
        return sum(
            self.place_of(voter.name) == place
            for voter in self.configuration.voters
            if voter != member and not self.is_departing(voter)
        )

    def has_other_store(self, member: Member) -> bool:
        """Return whether the member replied from a different store."""
        peer = self.peers.get(member.name)
        if peer is None or not peer.store_id:
            return False
        return peer.store_id != member.store_id

    def is_quorum_alive(self, proposed: Configuration) -> bool:
        """Return whether live voters form a quorum before and after.

        Both the current and the proposed configuration need a quorum:
        a leader that is partitioned with a minority must not shrink
        the cluster to that minority.
        """
        return all(
            configuration.is_quorum(
                {v.name for v in configuration.voters if self.is_alive(v)}
            )
            for configuration in (self.configuration, proposed)
        )
