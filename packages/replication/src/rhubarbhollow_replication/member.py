"""One member of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

UNBOUND_STORE_ID = ""


class MemberRole(Enum):
    """Say whether a member counts towards a quorum."""

    VOTER = "voter"
    LEARNER = "learner"


@dataclass(frozen=True, slots=True)
class Member:
    """Bind a member's name to the store that its promises rest on."""

    name: str
    store_id: str
    role: MemberRole

    @property
    def is_voter(self) -> bool:
        """Whether the member counts towards a quorum."""
        return self.role is MemberRole.VOTER
