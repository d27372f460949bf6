"""Members of the replicated log and their roles."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# Store ID of a member whose store is not known yet.
UNBOUND_STORE_ID = ""

# ID of every store that was formatted with a record of the initial
# members. A member has one such store in its life, so the ID and the
# member's name identify it before the log exists.
FOUNDING_STORE_ID = "founding"


class MemberRole(Enum):
    """The role of a member; only voters count toward a quorum."""

    VOTER = "voter"
    LEARNER = "learner"


@dataclass(frozen=True, slots=True)
class Member:
    """A member and the store that holds its votes and log."""

    name: str
    store_id: str
    role: MemberRole

    @property
    def is_voter(self) -> bool:
        """Whether the member counts toward a quorum."""
        return self.role is MemberRole.VOTER
