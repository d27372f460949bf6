"""Messages that replicate entries and confirm the lease."""

from __future__ import annotations

from dataclasses import dataclass

# the codec resolves the hints of messages at run time
from rhubarbhollow_replication.entry import Entry  # noqa: TC001


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Carry entries after ``previous_index``, or none as a heartbeat.

    ``round`` numbers the leader's broadcasts within its term.
    ``acked_round`` is the latest round whose reply from this follower
    had reached the leader when this round began, and
    ``confirmed_round`` the latest that a quorum has answered: the two
    bound the age of what the follower holds without a shared clock.
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
    """Answer an append after everything it covers is synced.

    On success ``match_index`` is the last index known to equal the
    leader's; on refusal it is the index after which to retry.
    ``round`` carries the follower's tag, see ``round_tag``.
    """

    term: int
    follower: str
    is_success: bool
    match_index: int
    round: int
    store_id: str
