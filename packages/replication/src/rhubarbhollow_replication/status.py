"""What a replica tells about itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_replication.member import MemberRole
    from rhubarbhollow_replication.role import Role
    from rhubarbhollow_replication.store_fault import StoreFault


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Describe one member as seen from here.

    Only the leader knows ``match_index`` and ``is_alive`` of others;
    elsewhere they are zero and False.
    """

    name: str
    role: MemberRole
    match_index: int
    is_alive: bool


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """Describe a replica at one moment.

    ``is_fresh`` holds while no newer commit than a lease ago can be
    missing here. Everything acknowledged before ``confirmed_at``, on
    this replica's monotonic clock, is applied here. ``fault`` is set
    once the store has failed.
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
