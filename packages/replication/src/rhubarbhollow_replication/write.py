"""What a replica asks its store to make durable."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_replication.entry import Entry
    from rhubarbhollow_replication.snapshot import Snapshot
    from rhubarbhollow_replication.vote_state import VoteState


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Remember a term and the vote given in it."""

    state: VoteState


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Append entries; the first replaces all from its index on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Save a snapshot of this replica's own log prefix."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Save the leader's snapshot and void the log before it."""

    snapshot: Snapshot


Write: TypeAlias = SaveVote | SaveEntries | SaveSnapshot | InstallSnapshot
