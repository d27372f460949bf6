"""Follower and learner side of log replication."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.chunk import SnapshotChunk, SnapshotReply
from rhubarbhollow_replication.freshness import Freshness
from rhubarbhollow_replication.round_tag import tag_round
from rhubarbhollow_replication.snapshot_receiver import SnapshotReceiver

if TYPE_CHECKING:
    from rhubarbhollow_replication.journal import Journal
    from rhubarbhollow_replication.outbox import Outbox
    from rhubarbhollow_replication.settings import ReplicaSettings
    from rhubarbhollow_replication.snapshot import Snapshot


class Follower:
    """Apply the leader's appends and snapshots to the local log.

    Replies are sent after the writes that they acknowledge are durable.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        store_id: str,
        journal: Journal,
        outbox: Outbox,
        tag: int,
        now: float,
    ) -> None:
        self._settings = settings
        self._store_id = store_id
        self._journal = journal
        self._outbox = outbox
        self._tag = tag
        self._receiver = SnapshotReceiver()
        # A restarted replica may have answered a leader just before it
        # stopped, and the lease based on that answer may still be live.
        # It therefore waits as if it had heard from a leader now.
        self._last_contact_at = now
        self._has_contact = False
        self._freshness = Freshness(settings.lease_seconds)

    @property
    def freshness(self) -> Freshness:
        """The bound on how stale the state of this replica is."""
        return self._freshness

    def record_leader_contact(
        self, term: int, round_number: int, now: float
    ) -> None:
        """Record a message from the leader of ``term``."""
        self._last_contact_at = now
        self._has_contact = True
        tagged = tag_round(round_number, self._tag)
        self._freshness.record_reply(term, tagged, now)

    def may_back_lease(self, now: float) -> bool:
        """Return whether a lease may depend on this replica's reply."""
        timeout = self._settings.election_timeout_seconds
        return now < self._last_contact_at + timeout

    def backs_lease(self, now: float) -> bool:
        """Return whether this process has answered a recent leader.

        It may still back a lease that it answered before its start.
        """
        return self._has_contact and self.may_back_lease(now)

    def handle_append(self, request: AppendRequest) -> None:
        """Append matching entries, or reply where to retry."""
        log = self._journal.log
        if request.previous_index > log.last_index:
            self.reject(request, request.term, log.last_index)
            return
        local_term = log.term_at(request.previous_index)
        if local_term not in (None, request.previous_term):
            hint = log.first_index_of_term(request.previous_index) - 1
            hint = max(hint, self._journal.commit_index)
            self.reject(request, request.term, hint)
            return
        self._journal.merge(request.entries)
        last_index = request.previous_index + len(request.entries)
        self._journal.commit(min(request.commit_index, last_index))
        is_current = log.term_at(request.commit_index) == request.term
        self._freshness.record_request(request, is_current=is_current)
        self._acknowledge(request, last_index)

    def reject(self, request: AppendRequest, term: int, hint: int) -> None:
        """Reject a request; the leader retries after ``hint``."""
        reply = AppendReply(
            term=term,
            follower=self._settings.name,
            is_success=False,
            match_index=hint,
            round=tag_round(request.round, self._tag),
            store_id=self._store_id,
        )
        self._outbox.add(request.leader, reply)

    def handle_chunk(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Process a snapshot chunk.

        Return the snapshot once it is complete and installed.
        """
        journal = self._journal
        snapshot = self._receiver.add(chunk)
        if snapshot is None or snapshot.last_index <= journal.commit_index:
            snapshot = None
        else:
            journal.install(snapshot)
        if chunk.last_index <= journal.commit_index:
            self._acknowledge(chunk, journal.commit_index)
        else:
            self._request_next_chunk(chunk)
        return snapshot

    def _acknowledge(
        self, request: AppendRequest | SnapshotChunk, match_index: int
    ) -> None:
        reply = AppendReply(
            term=request.term,
            follower=self._settings.name,
            is_success=True,
            match_index=match_index,
            round=tag_round(request.round, self._tag),
            store_id=self._store_id,
        )
        self._outbox.add(request.leader, reply)

    def _request_next_chunk(self, chunk: SnapshotChunk) -> None:
        reply = SnapshotReply(
            term=chunk.term,
            follower=self._settings.name,
            last_index=chunk.last_index,
            offset=self._receiver.offset,
            round=tag_round(chunk.round, self._tag),
            store_id=self._store_id,
        )
        self._outbox.add(chunk.leader, reply)
