"""Status of a replica and of its members."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhollow_replication.member import MemberRole
from rhubarbhollow_replication.role import Role

if TYPE_CHECKING:
    from rhubarbhollow_replication.store_fault import StoreFault


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The status of one member, as known to this replica.

    Only the leader knows ``match_index`` and ``is_alive`` of other
    members. On other replicas they are zero and false.
    """

    name: str
    role: MemberRole
    match_index: int
    is_alive: bool


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """The status of a replica at one point in time.

    If ``is_fresh`` is true, every entry that was committed at least a
    lease ago is applied on this replica; it is false while this is not
    proven. Everything acknowledged before ``confirmed_at``, on this
    replica's monotonic clock, is applied as well. ``fault`` is set once
    the store has failed.
    """

    role: Role
    term: int
    leader: str | None
    is_fresh: bool
    confirmed_at: float | None
    commit_index: int
    applied_index: int
    members: tuple[MemberStatus, ...]
    fault: StoreFault | None

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return self.role is Role.LEADER

    @property
    def voters(self) -> tuple[MemberStatus, ...]:
        """The members that count toward a quorum."""
        return tuple(m for m in self.members if m.role is MemberRole.VOTER)
