"""Writes that a replica's store has to make durable."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_replication.entry import Entry
    from rhubarbhollow_replication.snapshot import Snapshot
    from rhubarbhollow_replication.vote_state import VoteState


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Save a term and the vote cast in it."""

    state: VoteState


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Append entries, replacing the log from the first index on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Save a local snapshot that covers a prefix of the log."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Save a snapshot of the leader and discard the whole log."""

    snapshot: Snapshot


Write: TypeAlias = SaveVote | SaveEntries | SaveSnapshot | InstallSnapshot
