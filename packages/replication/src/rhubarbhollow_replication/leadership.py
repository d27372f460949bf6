"""Leader side of replication during one term."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.chunk import SnapshotChunk, SnapshotReply
from rhubarbhollow_replication.entry import Entry, EntryKind
from rhubarbhollow_replication.invariants import require
from rhubarbhollow_replication.lease import Lease
from rhubarbhollow_replication.membership_view import MembershipView
from rhubarbhollow_replication.plan import plan_repair
from rhubarbhollow_replication.progress import Progress, SnapshotTransfer
from rhubarbhollow_replication.round_tag import untag_round

if TYPE_CHECKING:
    from rhubarbhollow_replication.journal import Journal
    from rhubarbhollow_replication.outbox import Outbox
    from rhubarbhollow_replication.settings import ReplicaSettings

# Unacknowledged payload per peer, in units of max_batch_bytes.
MAX_BATCHES_IN_FLIGHT: Final = 4


class Leadership:
    """Replicate the log, renew the lease and find committed entries."""

    def __init__(
        self,
        settings: ReplicaSettings,
        store_id: str,
        term: int,
        journal: Journal,
        outbox: Outbox,
        now: float,
    ) -> None:
        self._settings = settings
        self._store_id = store_id
        self._term = term
        self._journal = journal
        self._outbox = outbox
        self._first_index = journal.log.last_index + 1
        self._peers: dict[str, Progress] = {}
        self._is_round_pending = True
        self._is_leaving = False
        self._heartbeat_at = now
        self._repair_at = now
        self._lease = Lease(settings.lease_seconds, now)
        self._update_peers(now)

    @property
    def lease(self) -> Lease:
        """The leader lease, renewed by confirmed rounds."""
        return self._lease

    @property
    def first_index(self) -> int:
        """The index of the term's first entry.

        Every entry committed in earlier terms is below it.
        """
        return self._first_index

    @property
    def heartbeat_at(self) -> float:
        """The time at which the next round is due."""
        return self._heartbeat_at

    @property
    def peers(self) -> dict[str, Progress]:
        """The replication progress of every other member, by name."""
        return self._peers

    @property
    def may_change_membership(self) -> bool:
        """Whether a new membership change may be appended.

        The term's first entry and every earlier change must have been
        committed.
        """
        journal = self._journal
        if journal.configurations.index > journal.commit_index:
            return False
        return journal.log.term_at(journal.commit_index) == self._term

    @property
    def is_retired(self) -> bool:
        """Whether the loss of this leader's own vote is committed."""
        configurations = self._journal.configurations
        if configurations.index > self._journal.commit_index:
            return False
        name = self._settings.name
        return not configurations.current.is_voting_store(name, self._store_id)

    def record_leaving(self, name: str, now: float) -> None:
        """Record that a member is about to stop.

        It is forgotten after an election timeout, since the member may
        have started again by then.
        """
        peer = self._peers.get(name)
        if peer is not None:
            timeout = self._settings.election_timeout_seconds
            peer.leaving_until = now + timeout

    def begin_leaving(self) -> None:
        """Record that this leader is about to stop."""
        self._is_leaving = True

    def append(self, kind: EntryKind, payload: bytes, now: float) -> int:
        """Append an entry of this term and return its index."""
        index = self._journal.log.last_index + 1
        self._journal.append((Entry(index, self._term, kind, payload),))
        self._is_round_pending = True
        if kind is EntryKind.CONFIG:
            self._update_peers(now)
        return index

    def request_round(self) -> int:
        """Schedule a round for the next flush and return its number.

        All requests made before that flush share the round.
        """
        self._is_round_pending = True
        return self._lease.round + 1

    def tick(self, now: float) -> None:
        """Repair the membership and start a round when they are due.

        A round started by ``flush`` postpones the next heartbeat but
        not the next repair.
        """
        if now >= self._repair_at:
            self._repair_at = now + self._settings.heartbeat_seconds
            self._repair(now)
        if now >= self._heartbeat_at:
            self.begin_round(now)

    def flush(self, now: float) -> None:
        """Start a round if one is pending."""
        if self._is_round_pending:
            self.begin_round(now)

    def begin_round(self, now: float) -> int:
        """Send a round to every peer and return its number."""
        number = self._lease.begin_round(now)
        self._is_round_pending = False
        self._heartbeat_at = now + self._settings.heartbeat_seconds
        for name, peer in self._peers.items():
            peer.echoed_round = peer.answered_round
            self._send_round(name, peer, now)
        self._confirm_rounds()
        return number

    def handle_append_reply(self, reply: AppendReply, now: float) -> None:
        """Update a peer's progress from its reply."""
        peer = self._record_reply(
            reply.follower, reply.store_id, reply.round, now
        )
        if peer is None:
            return
        if not reply.is_success:
            is_news = peer.record_rejection(
                reply.match_index,
                untag_round(reply.round),
                self._lease.round,
            )
            if not is_news:
                self._confirm_rounds()
                return
        elif reply.match_index > self._journal.log.last_index:
            return
        else:
            peer.record_match(reply.match_index)
        self._confirm_rounds()
        if peer.next_index <= self._journal.log.last_index:
            self._send_more(reply.follower, peer, now)

    def handle_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Send the snapshot chunk that a peer requests."""
        peer = self._record_reply(
            reply.follower, reply.store_id, reply.round, now
        )
        if peer is None or peer.transfer is None:
            return
        self._confirm_rounds()
        transfer = peer.transfer
        if reply.last_index != transfer.snapshot.last_index:
            return
        if reply.offset == transfer.offset:
            return
        transfer.offset = reply.offset
        self._send_chunk(reply.follower, transfer, now)

    def find_committed(self) -> int:
        """Return the commit index, advanced by this term's entries.

        It is unchanged if no later entry of this term is durable on a
        quorum. Entries of older terms are not committed by counting:
        such an entry may be durable on a quorum and still be replaced
        by a later leader.
        """
        journal = self._journal
        durable = self._voting_values(
            {name: peer.match_index for name, peer in self._peers.items()},
            journal.synced_index,
        )
        index = journal.configuration.quorum_value(durable)
        if index <= journal.commit_index:
            return journal.commit_index
        if journal.log.term_at(index) != self._term:
            return journal.commit_index
        agreeing = {name for name, value in durable.items() if value >= index}
        require(
            journal.configuration.is_quorum(agreeing),
            "a committed entry must be durable on a quorum",
        )
        return index

    def view(self, now: float) -> MembershipView:
        """Return the state on which membership changes are decided."""
        settings = self._settings
        return MembershipView(
            configuration=self._journal.configuration,
            leader=settings.name,
            peers=self._peers,
            commit_index=self._journal.commit_index,
            wanted_voters=settings.voter_target,
            now=now,
            alive_seconds=settings.election_timeout_seconds,
            # No member may be both alive and unresponsive.
            unresponsive_seconds=max(
                settings.repair_after_seconds,
                settings.election_timeout_seconds,
            ),
            place_of=settings.place_of,
            leaving=self._list_leaving(now),
        )

    def _list_leaving(self, now: float) -> frozenset[str]:
        names = {
            name
            for name, peer in self._peers.items()
            if now < peer.leaving_until
        }
        if self._is_leaving:
            names.add(self._settings.name)
        return frozenset(names)

    def _repair(self, now: float) -> None:
        if not self.may_change_membership or not self._lease.is_live(now):
            return
        proposed = plan_repair(self.view(now))
        if proposed is not None:
            self.append(EntryKind.CONFIG, proposed.encode(), now)

    def _update_peers(self, now: float) -> None:
        """Update the peers to match the configuration in force."""
        names = {m.name for m in self._journal.configuration.members}
        names.discard(self._settings.name)
        next_index = self._journal.log.last_index + 1
        self._peers = {
            name: self._peers.get(name)
            or Progress(next_index, last_contact_at=now)
            for name in sorted(names)
        }

    def _record_reply(
        self, name: str, store_id: str, tagged_round: int, now: float
    ) -> Progress | None:
        peer = self._peers.get(name)
        if peer is None or untag_round(tagged_round) > self._lease.round:
            return None
        peer.record_store(store_id, self._journal.log.last_index)
        peer.last_contact_at = now
        peer.record_answer(tagged_round)
        return peer

    def _voting_values(
        self, values: dict[str, int], own: int
    ) -> dict[str, int]:
        """Filter ``values`` to voting stores and add this replica's.

        ``values`` is keyed by peer name; ``own`` is the value of this
        replica.
        """
        configuration = self._journal.configuration
        counted = {
            name: value
            for name, value in values.items()
            if configuration.is_voting_store(name, self._peers[name].store_id)
        }
        name = self._settings.name
        if configuration.is_voting_store(name, self._store_id):
            counted[name] = own
        return counted

    def _confirm_rounds(self) -> None:
        rounds = self._voting_values(
            {name: peer.acked_round for name, peer in self._peers.items()},
            self._lease.round,
        )
        self._lease.confirm(self._journal.configuration.quorum_value(rounds))

    def _send_round(self, name: str, peer: Progress, now: float) -> None:
        if peer.next_index <= self._journal.log.base_index:
            base_index = self._journal.log.base_index
            self._send_append(name, peer, base_index, ())
            self._resume_transfer(name, peer, now)
            return
        self._send_entries(name, peer)

    def _send_more(self, name: str, peer: Progress, now: float) -> None:
        if peer.next_index <= self._journal.log.base_index:
            self._resume_transfer(name, peer, now)
            return
        if self._may_send_batch(peer):
            self._send_entries(name, peer)

    def _send_entries(self, name: str, peer: Progress) -> None:
        peer.transfer = None
        entries: tuple[Entry, ...] = ()
        if self._may_send_batch(peer):
            limit = self._settings.max_batch_bytes
            entries = self._journal.log.read_batch(peer.next_index, limit)
        self._send_append(name, peer, peer.next_index - 1, entries)
        if entries:
            peer.record_sent(entries)

    def _may_send_batch(self, peer: Progress) -> bool:
        """Return whether the in-flight limit allows another batch."""
        limit = MAX_BATCHES_IN_FLIGHT * self._settings.max_batch_bytes
        return peer.in_flight_bytes < limit

    def _send_append(
        self,
        name: str,
        peer: Progress,
        previous_index: int,
        entries: tuple[Entry, ...],
    ) -> None:
        previous_term = self._journal.log.term_at(previous_index)
        require(
            previous_term is not None,
            "previous_index of an append is outside the log",
        )
        request = AppendRequest(
            term=self._term,
            leader=self._settings.name,
            previous_index=previous_index,
            previous_term=previous_term or 0,
            entries=entries,
            commit_index=self._journal.commit_index,
            round=self._lease.round,
            acked_round=peer.echoed_round,
            confirmed_round=self._lease.confirmed_round,
            store_id=self._store_id,
        )
        self._outbox.add(name, request, may_precede_sync=True)

    def _resume_transfer(self, name: str, peer: Progress, now: float) -> None:
        """Send the next chunk unless it was sent within a heartbeat."""
        snapshot = self._journal.snapshot
        require(snapshot is not None, "a compacted log must have a snapshot")
        if peer.transfer is None and snapshot is not None:
            peer.transfer = SnapshotTransfer(snapshot, snapshot.encode())
            self._send_chunk(name, peer.transfer, now)
            return
        transfer = peer.transfer
        if transfer is None:
            return
        if now - transfer.sent_at >= self._settings.heartbeat_seconds:
            self._send_chunk(name, transfer, now)

    def _send_chunk(
        self, name: str, transfer: SnapshotTransfer, now: float
    ) -> None:
        end = transfer.offset + self._settings.max_batch_bytes
        chunk = SnapshotChunk(
            term=self._term,
            leader=self._settings.name,
            last_index=transfer.snapshot.last_index,
            last_term=transfer.snapshot.last_term,
            offset=transfer.offset,
            data=transfer.encoded[transfer.offset : end],
            is_last=end >= len(transfer.encoded),
            round=self._lease.round,
            store_id=self._store_id,
        )
        transfer.sent_at = now
        self._outbox.add(name, chunk)
