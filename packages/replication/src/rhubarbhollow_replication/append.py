"""AppendEntries messages, which also confirm the leader's lease."""

from __future__ import annotations

from dataclasses import dataclass

# Imported at run time: the codec resolves the type hints of messages.
from rhubarbhollow_replication.entry import Entry  # noqa: TC001


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Request to append the entries that follow ``previous_index``.

    A heartbeat has no entries. ``round`` numbers the leader's
    broadcasts within its term. ``acked_round`` is the latest round
    whose reply from this follower had reached the leader when this
    round began, and ``confirmed_round`` is the latest round that a
    quorum has answered. Together they bound the staleness of the
    follower's state without a shared clock.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int
    acked_round: int
    confirmed_round: int
    store_id: str


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to an append, sent after the entries it covers are synced.

    On success, ``match_index`` is the last index up to which the
    follower's log is known to match the leader's. On rejection, it is
    the index after which the leader should retry. ``round`` includes
    the follower's tag, see ``round_tag``.
    """

    term: int
    follower: str
    is_success: bool
    match_index: int
    round: int
    store_id: str
