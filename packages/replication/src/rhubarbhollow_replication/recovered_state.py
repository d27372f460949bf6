"""The state of a store at the time it was opened."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_replication.entry import Entry
    from rhubarbhollow_replication.snapshot import Snapshot
    from rhubarbhollow_replication.vote_state import VoteState


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """The durable state of one member.

    ``entries`` directly follow the snapshot. ``committed_index`` is the
    last index known to be committed, or 0 if the store alone is known.
    ``founders`` are the initial members of the log if this store may
    form it.
    """

    store_id: str
    vote: VoteState
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    committed_index: int = 0
    founders: tuple[str, ...] = ()
