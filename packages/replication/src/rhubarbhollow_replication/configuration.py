"""Cluster configurations and their quorum arithmetic."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhollow_replication.member import (
    FOUNDING_STORE_ID,
    UNBOUND_STORE_ID,
    Member,
    MemberRole,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping


@dataclass(frozen=True, slots=True)
class Configuration:
    """The members of the log, sorted by name and without duplicates."""

    members: tuple[Member, ...]

    @property
    def voters(self) -> tuple[Member, ...]:
        """The members that count toward a quorum."""
        return tuple(member for member in self.members if member.is_voter)

    @property
    def is_bound(self) -> bool:
        """Whether the store ID of every voter is known.

        This is false only for the initial configuration, which is
        taken from the settings.
        """
        return all(voter.store_id != UNBOUND_STORE_ID for voter in self.voters)

    @property
    def quorum_size(self) -> int:
        """The number of voters that must agree.

        An unbound configuration needs every voter. A voter that lost
        its disk is indistinguishable from a new one, so only agreement
        of all initial members proves that no log exists yet.
        """
        count = len(self.voters)
        if not self.is_bound:
            return count
        return count // 2 + 1

    def find(self, name: str) -> Member | None:
        """Return the member called ``name``, or ``None``."""
        return next((m for m in self.members if m.name == name), None)

    def is_voting_store(self, name: str, store_id: str) -> bool:
        """Return whether this store votes on behalf of ``name``."""
        member = self.find(name)
        if member is None or not member.is_voter:
            return False
        return member.store_id in (store_id, UNBOUND_STORE_ID)

    def is_quorum(self, names: Collection[str]) -> bool:
        """Return whether the voters among ``names`` form a quorum."""
        agreed = sum(voter.name in names for voter in self.voters)
        return 0 < self.quorum_size <= agreed

    def quorum_value(self, values: Mapping[str, int]) -> int:
        """Return the highest value that a quorum has reached.

        A voter that is missing from ``values`` counts as zero.
        """
        ranked = sorted(
            (values.get(voter.name, 0) for voter in self.voters),
            reverse=True,
        )
        return ranked[self.quorum_size - 1] if ranked else 0

    def with_member(self, member: Member) -> Configuration:
        """Return a copy with ``member`` added or replaced by name."""
        others = (m for m in self.members if m.name != member.name)
        return _sorted_by_name((*others, member))

    def without_member(self, name: str) -> Configuration:
        """Return a copy without the member called ``name``."""
        return _sorted_by_name(m for m in self.members if m.name != name)

    def bind(self, store_ids: Mapping[str, str]) -> Configuration:
        """Return a copy with the store IDs given by member name."""
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
    """Decode the payload of a CONFIG entry."""
    rows = json.loads(payload)
    return Configuration(
        tuple(
            Member(name, store_id, MemberRole(role))
            for name, store_id, role in rows
        )
    )


def initial_configuration(names: Iterable[str]) -> Configuration:
    """Return the unbound configuration given by the settings."""
    return _sorted_by_name(
        Member(name, UNBOUND_STORE_ID, MemberRole.VOTER) for name in names
    )


def founding_configuration(names: Iterable[str]) -> Configuration:
    """Return the configuration of the members that may form the log.

    It is bound to their founding stores. A store that replaced one of
    them has another ID and no vote, so a majority suffices from the
    first election on.
    """
    return _sorted_by_name(
        Member(name, FOUNDING_STORE_ID, MemberRole.VOTER) for name in names
    )


def _sorted_by_name(members: Iterable[Member]) -> Configuration:
    return Configuration(tuple(sorted(members, key=lambda m: m.name)))
