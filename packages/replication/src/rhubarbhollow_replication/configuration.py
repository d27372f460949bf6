"""The members of the log and the quorum arithmetic over them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhollow_replication.member import (
    UNBOUND_STORE_ID,
    Member,
    MemberRole,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping


@dataclass(frozen=True, slots=True)
class Configuration:
    """List the members, each name once."""

    members: tuple[Member, ...]

    @property
    def voters(self) -> tuple[Member, ...]:
        """The members that count towards a quorum."""
        return tuple(member for member in self.members if member.is_voter)

    @property
    def is_bound(self) -> bool:
        """Whether every voter's store is known.

        Only the first configuration, taken from settings, is not.
        """
        return all(voter.store_id != UNBOUND_STORE_ID for voter in self.voters)

    @property
    def quorum_size(self) -> int:
        """The number of voters that must agree.

        An unbound configuration needs every voter: a voter that lost
        its disk looks like one that never had any, and only unanimity
        of the initial members proves that no history exists.
        """
        count = len(self.voters)
        if not self.is_bound:
            return count
        return count // 2 + 1

    def find(self, name: str) -> Member | None:
        """Return the member called ``name``, if there is one."""
        return next((m for m in self.members if m.name == name), None)

    def is_voting_store(self, name: str, store_id: str) -> bool:
        """Whether promises made by this store count as ``name``'s."""
        member = self.find(name)
        if member is None or not member.is_voter:
            return False
        return member.store_id in (store_id, UNBOUND_STORE_ID)

    def is_quorum(self, names: Collection[str]) -> bool:
        """Whether the voters among ``names`` are enough to decide."""
        agreed = sum(voter.name in names for voter in self.voters)
        return 0 < self.quorum_size <= agreed

    def quorum_value(self, values: Mapping[str, int]) -> int:
        """Return the highest value that a quorum has reached."""
        ranked = sorted(
            (values.get(voter.name, 0) for voter in self.voters),
            reverse=True,
        )
        return ranked[self.quorum_size - 1] if ranked else 0

    def with_member(self, member: Member) -> Configuration:
        """Add ``member``, or replace the one of its name."""
        others = (m for m in self.members if m.name != member.name)
        return _sorted_by_name((*others, member))

    def without_member(self, name: str) -> Configuration:
        """Leave out the member called ``name``."""
        return _sorted_by_name(m for m in self.members if m.name != name)

    def bind(self, store_ids: Mapping[str, str]) -> Configuration:
        """Bind the members to the stores that voted."""
        return Configuration(
            tuple(
                Member(m.name, store_ids.get(m.name, m.store_id), m.role)
                for m in self.members
            )
        )

    def encode(self) -> bytes:
        """Return the payload of a CONFIG entry."""
        rows = [[m.name, m.store_id, m.role.value] for m in self.members]
        return json.dumps(rows, separators=(",", ":")).encode()


def decode_configuration(payload: bytes) -> Configuration:
    """Read the payload of a CONFIG entry."""
    rows = json.loads(payload)
    return Configuration(
        tuple(
            Member(name, store_id, MemberRole(role))
            for name, store_id, role in rows
        )
    )


def initial_configuration(names: Iterable[str]) -> Configuration:
    """Return the unbound configuration that settings describe."""
    return _sorted_by_name(
        Member(name, UNBOUND_STORE_ID, MemberRole.VOTER) for name in names
    )


def _sorted_by_name(members: Iterable[Member]) -> Configuration:
    return Configuration(tuple(sorted(members, key=lambda m: m.name)))
