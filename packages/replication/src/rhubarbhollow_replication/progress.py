"""Replication progress of a peer, as seen by the leader."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhollow_replication.round_tag import untag_round

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_replication.entry import Entry
    from rhubarbhollow_replication.snapshot import Snapshot


@dataclass(slots=True)
class SnapshotTransfer:
    """The state of a snapshot transfer to a peer."""

    snapshot: Snapshot
    encoded: bytes
    offset: int = 0
    sent_at: float = 0.0


@dataclass(frozen=True, slots=True)
class SentBatch:
    """A sent batch whose last index is not yet durable at the peer."""

    last_index: int
    payload_bytes: int


@dataclass(slots=True)
class Progress:
    """The replication state of one peer during a leader's term.

    ``match_index`` is the last index known to be durable at the peer,
    ``next_index`` is the next index to send, and ``store_id`` is the
    store that the peer last replied from. ``answered_round`` is the
    round of its latest reply, including the peer's tag.
    ``echoed_round`` is the value of ``answered_round`` when the current
    round began; the peer uses it to bound the time of that round.
    ``rewound_to`` and ``rewound_round`` are the hint of the latest
    rejection and the leader's round when it arrived. The peer is about
    to stop if ``leaving_until`` has not passed.
    """

    next_index: int
    last_contact_at: float
    match_index: int = 0
    answered_round: int = 0
    echoed_round: int = 0
    store_id: str = ""
    transfer: SnapshotTransfer | None = None
    in_flight: deque[SentBatch] = field(default_factory=deque)
    rewound_to: int = 0
    rewound_round: int = -1
    leaving_until: float = 0.0

    @property
    def acked_round(self) -> int:
        """The latest round that the peer has answered."""
        return untag_round(self.answered_round)

    @property
    def in_flight_bytes(self) -> int:
        """The payload bytes sent and not yet known to be durable."""
        return sum(batch.payload_bytes for batch in self.in_flight)

    def record_store(self, store_id: str, last_index: int) -> None:
        """Reset the progress if the peer has a different store."""
        if store_id == self.store_id:
            return
        self.store_id = store_id
        self.match_index = 0
        self.answered_round = 0
        self.echoed_round = 0
        self.next_index = last_index + 1
        self.transfer = None
        self.in_flight.clear()
        self.rewound_round = -1

    def record_answer(self, tagged_round: int) -> None:
        """Record a reply if it answers a later round."""
        if untag_round(tagged_round) > self.acked_round:
            self.answered_round = tagged_round

    def record_sent(self, entries: Iterable[Entry]) -> None:
        """Record a sent batch and advance the next index past it."""
        size = 0
        for entry in entries:
            size += len(entry.payload)
            self.next_index = entry.index + 1
        self.in_flight.append(SentBatch(self.next_index - 1, size))

    def record_match(self, index: int) -> None:
        """Advance the match index after a successful append."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, index + 1)
        while self.in_flight and self.in_flight[0].last_index <= index:
            self.in_flight.popleft()
        if self.transfer and index >= self.transfer.snapshot.last_index:
            self.transfer = None

    def record_rejection(
        self, hint: int, answered_round: int, current_round: int
    ) -> bool:
        """Move the next index back to the position given by a peer.

        The hint may be below the match index if the reply is outdated
        or names the start of a term. This only resends entries.

        Return false, and change nothing, if the rejected request was
        sent before entries were resent for an earlier rejection with
        the same or a lower hint. Requests that were sent later are of
        a later round, or are rejected with a lower hint.
        """
        is_repeated = (
            answered_round <= self.rewound_round and hint >= self.rewound_to
        )
        if is_repeated:
            return False
        self.rewound_to = hint
        self.rewound_round = current_round
        self.next_index = hint + 1
        self.in_flight.clear()
        return True
