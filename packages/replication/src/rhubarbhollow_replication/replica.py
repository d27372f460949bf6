"""A replica: the task that drives the core, store and state machine."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING, Final

import anyio
import anyio.abc
import anyio.lowlevel
import anyio.to_thread
import structlog
from result import Err, Ok, Result

from rhubarbhollow_replication.core import Core, Position
from rhubarbhollow_replication.entry import Entry, EntryKind
from rhubarbhollow_replication.fault import (
    ChangeFault,
    NotLeader,
    Overloaded,
    PayloadTooLarge,
    ProposeFault,
    StoreFailed,
)
from rhubarbhollow_replication.invariants import require
from rhubarbhollow_replication.pending import (
    Pending,
    PendingChange,
    PendingProposal,
    PendingRead,
)
from rhubarbhollow_replication.record import MAX_PAYLOAD_BYTES
from rhubarbhollow_replication.request_tracker import RequestTracker
from rhubarbhollow_replication.role import Role
from rhubarbhollow_replication.snapshot import Snapshot
from rhubarbhollow_replication.status import MemberStatus, ReplicaStatus
from rhubarbhollow_replication.store_fault import CorruptRecord, StoreFault

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from rhubarbhollow_replication.effects import Effects
    from rhubarbhollow_replication.membership_change import MembershipChange
    from rhubarbhollow_replication.messages import PeerMessage
    from rhubarbhollow_replication.outbox import Send
    from rhubarbhollow_replication.settings import ReplicaSettings
    from rhubarbhollow_replication.state_machine import StateMachine
    from rhubarbhollow_replication.store import LogStore
    from rhubarbhollow_wire.clock import Clock

MAX_INBOX_MESSAGES: Final = 4096
# Committed entries are applied for this long before messages are read
# again; a round trip to a member that also applies takes several.
APPLY_SLICE_SECONDS: Final = 0.02
# Interval between attempts to reopen a store that failed. It is short
# against the time after which another member may be lost.
REOPEN_INTERVAL_SECONDS: Final = 0.25
# Turns of the event loop from queueing a message to writing it.
CONNECTION_TURNS: Final = 3

_log = structlog.get_logger()


class Replica:
    """One member of the replicated log.

    ``send`` is called with the name of a member and a message. It must
    not block, and may lose, delay, duplicate or reorder messages.
    ``random`` must yield different numbers each time the process
    starts, because the tag of a follower is drawn from it.
    """

    def __init__(
        self,
        *,
        settings: ReplicaSettings,
        store: LogStore,
        machine: StateMachine,
        clock: Clock,
        random: Random,
        send: Callable[[str, PeerMessage], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._machine = machine
        self._clock = clock
        self._random = random
        self._send = send
        recovered = store.recovered
        self._core = Core(settings, recovered, random, clock.monotonic())
        self._inbox: deque[PeerMessage] = deque(maxlen=MAX_INBOX_MESSAGES)
        self._requests: deque[Pending] = deque()
        self._tracker = RequestTracker()
        # Committed entries and snapshots that are still to be applied.
        self._backlog: deque[Entry | Snapshot] = deque()
        self._confirmed_at: float | None = None
        self._wake = anyio.Event()
        self._applied_index = 0
        self._callbacks: list[Callable[[int], None]] = []
        self._fault: StoreFault | None = None
        self._reopen_at = 0.0
        self._is_closed = False
        self._logged_role = (Role.FOLLOWER, 0)
        self._logged_members = self._core.configuration
        self._logged_missing: tuple[str, ...] = ()
        self._writer = anyio.CapacityLimiter(1)
        if recovered.snapshot is not None:
            self._restore(recovered.snapshot)

    @property
    def status(self) -> ReplicaStatus:
        """The current status of this replica."""
        core = self._core
        is_failed = self._fault is not None
        now = self._clock.monotonic()
        confirmed_at = self._state_confirmed_at()
        return ReplicaStatus(
            role=Role.FAILED if is_failed else core.role,
            term=core.term,
            leader=None if is_failed else core.leader,
            is_fresh=not is_failed and self._is_fresh(confirmed_at, now),
            confirmed_at=confirmed_at,
            commit_index=core.commit_index,
            applied_index=self._applied_index,
            members=self._member_statuses(now),
            fault=self._fault,
        )

    def _state_confirmed_at(self) -> float | None:
        """Return when the applied state was last known to be complete.

        Entries that are taken and not yet applied are missing in the
        state that others read here, so the last time before counts.
        """
        if self._backlog:
            return self._confirmed_at
        return self._core.confirmed_at

    def _is_fresh(self, confirmed_at: float | None, now: float) -> bool:
        if not self._backlog:
            return self._core.is_fresh(now)
        if confirmed_at is None:
            return False
        return now < confirmed_at + self._settings.lease_seconds

    def on_applied(self, callback: Callable[[int], None]) -> None:
        """Call ``callback`` with the applied index when it advances."""
        self._callbacks.append(callback)

    def receive(self, message: PeerMessage) -> None:
        """Queue a peer's message, dropping the oldest one if full."""
        self._inbox.append(message)
        self._wake.set()

    @property
    def awaits_successor(self) -> bool:
        """Whether this replica's vote may still move to another one."""
        if self._fault is not None:
            return False
        return self._core.awaits_successor(self._clock.monotonic())

    def begin_leaving(self) -> None:
        """Hand the vote to another member before the process stops."""
        _log.info(
            "leaving_log",
            log=self._settings.log_name,
            replica=self._settings.name,
            role=self._core.role.value,
        )
        self._core.begin_leaving(self._clock.monotonic())
        self._wake.set()

    async def propose(self, payload: bytes) -> Result[object, ProposeFault]:
        """Commit a command and return the state machine's outcome."""
        if len(payload) > MAX_PAYLOAD_BYTES:
            return Err(PayloadTooLarge(len(payload), MAX_PAYLOAD_BYTES))
        fault = self._admission_fault()
        if fault is not None:
            return Err(fault)
        proposal = PendingProposal(payload)
        self._enqueue(proposal)
        return await proposal.future.wait()

    async def change_membership(
        self, change: MembershipChange
    ) -> Result[None, ChangeFault]:
        """Commit a membership change."""
        fault = self._admission_fault()
        if fault is not None:
            return Err(fault)
        pending = PendingChange(change)
        self._enqueue(pending)
        return await pending.future.wait()

    async def confirm_leadership(self) -> bool:
        """Return whether this replica's leadership was confirmed.

        If true, a quorum has answered a round begun after the call, and
        everything acknowledged before the call is applied here. It is
        also false if the replica is overloaded or closed or its store
        failed, so false does not mean that another replica leads.
        """
        return await self.confirm_commit_index() is not None

    async def confirm_commit_index(self) -> int | None:
        """Return an index that a read has to see, or ``None``.

        Everything acknowledged before the call is at most at this
        index, which is applied here. ``None`` means what false means
        for ``confirm_leadership``. The call of a new leader waits until
        an entry of its own term is committed.
        """
        if self._admission_fault() is not None:
            return None
        read = PendingRead()
        self._enqueue(read)
        return read.index if await read.future.wait() else None

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the replica until cancelled."""
        task_status.started()
        try:
            while True:
                await self._run_until_store_fails()
                await self._reopen_store()
        finally:
            self._is_closed = True
            self._abort_requests()
            self._store.close()

    async def _run_until_store_fails(self) -> None:
        while self._fault is None:
            await self._wait_for_work()
            self._process_queued()
            await self._perform_effects()

    async def _reopen_store(self) -> None:
        """Wait until the store can be reopened, and resume with it.

        A disk that was full has room again at some point. A member that
        waited for a restart of its process until then would count as
        lost, and the next full disk would end the quorum.
        """
        while self._fault is not None:
            self._wake = anyio.Event()
            remaining = self._reopen_at - self._clock.monotonic()
            if remaining > 0:
                with anyio.move_on_after(remaining):
                    await self._wake.wait()
                continue
            reopened = await anyio.to_thread.run_sync(
                self._store.reopen, limiter=self._writer
            )
            match reopened:
                case Ok(store):
                    self._resume(store)
                case Err(fault):
                    self._schedule_reopening(fault)

    def _schedule_reopening(self, fault: StoreFault) -> None:
        require(
            not isinstance(fault, CorruptRecord),
            "synced data of a running replica must not be corrupt",
        )
        self._fault = fault
        self._reopen_at = self._clock.monotonic() + REOPEN_INTERVAL_SECONDS

    def _resume(self, store: LogStore) -> None:
        """Rejoin the log like a replica that has just been started.

        What was applied is durable in the store, so the state machine
        keeps its state.
        """
        recovered = replace(
            store.recovered, committed_index=self._applied_index
        )
        snapshot = recovered.snapshot
        if snapshot is not None and snapshot.last_index > self._applied_index:
            self._restore(snapshot)
        self._backlog.clear()
        self._inbox.clear()
        self._store = store
        now = self._clock.monotonic()
        self._core = Core(self._settings, recovered, self._random, now)
        self._fault = None
        _log.info(
            "store_reopened",
            log=self._settings.log_name,
            replica=self._settings.name,
            last_index=self._core.last_index,
            applied_index=self._applied_index,
        )

    async def _wait_for_work(self) -> None:
        remaining = self._core.deadline - self._clock.monotonic()
        if self._backlog:
            await _yield_to_connections()
        elif not self._inbox and not self._requests:
            with anyio.move_on_after(max(0.0, remaining)):
                await self._wake.wait()
        self._wake = anyio.Event()

    def _process_queued(self) -> None:
        """Process everything queued, so that it shares one fsync."""
        now = self._clock.monotonic()
        if now >= self._core.deadline:
            self._log_election()
        self._core.tick(now)
        while self._inbox:
            self._core.handle(self._inbox.popleft(), now)
        while self._requests:
            self._start_request(self._requests.popleft(), now)

    def _start_request(self, request: Pending, now: float) -> None:
        match request:
            case PendingProposal(payload, future):
                proposed = self._core.propose(payload, now)
                if isinstance(proposed, Err):
                    future.resolve(proposed)
                    return
                self._tracker.add(proposed.ok_value, request)
            case PendingChange(change, change_future):
                changed = self._core.change_membership(change, now)
                if isinstance(changed, Err):
                    change_future.resolve(changed)
                    return
                self._tracker.add(changed.ok_value, request)
            case PendingRead(read_future):
                ticket = self._core.begin_read()
                if isinstance(ticket, Err):
                    read_future.resolve(False)
                    return
                self._tracker.add_read(ticket.ok_value, request)

    async def _perform_effects(self) -> None:
        """Perform the effects of the core until there are none."""
        while True:
            effects = self._core.take_effects(self._clock.monotonic())
            if not await self._write(effects):
                return
            self._core.handle_synced()
            self._send_all(effects.sends_after_sync)
            self._backlog.extend(self._core.take_committed())
            if self._backlog:
                await _yield_to_connections()
            self._apply_committed()
            if effects.is_empty:
                return

    async def _write(self, effects: Effects) -> bool:
        self._send_all(effects.sends_before_sync)
        if not effects.writes:
            return True
        written = await anyio.to_thread.run_sync(
            self._store.write, effects.writes, limiter=self._writer
        )
        if isinstance(written, Err):
            self._fail(written.err_value)
            return False
        return True

    def _apply_committed(self) -> None:
        before = self._applied_index
        self._apply_slice()
        now = self._clock.monotonic()
        self._tracker.settle(self._core, self._applied_index, now)
        self._log_role_change()
        self._log_member_change()
        if not self._backlog:
            self._confirmed_at = self._core.confirmed_at
        if self._applied_index == before:
            return
        for callback in self._callbacks:
            callback(self._applied_index)
        if self._core.needs_snapshot and not self._backlog:
            self._core.compact(self._machine.snapshot())

    def _apply_slice(self) -> None:
        """Apply a part of the backlog.

        A member that restarts applies hundreds of changes. Applied at
        once, they keep it from answering others for longer than an
        election timeout, and a new leader loses its quorum.
        """
        until = self._clock.monotonic() + APPLY_SLICE_SECONDS
        while self._backlog:
            item = self._backlog.popleft()
            if isinstance(item, Snapshot):
                self._restore(item)
            else:
                self._apply(item)
            if self._clock.monotonic() >= until:
                return

    def _apply(self, entry: Entry) -> None:
        outcome: object = None
        if entry.kind is EntryKind.COMMAND:
            outcome = self._machine.apply(entry.index, entry.payload)
        self._applied_index = entry.index
        position = Position(entry.index, entry.term)
        now = self._clock.monotonic()
        self._tracker.resolve(position, outcome, self._core, now)

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self._applied_index = snapshot.last_index
        _log.info(
            "snapshot_restored",
            log=self._settings.log_name,
            replica=self._settings.name,
            index=snapshot.last_index,
        )

    def _admission_fault(self) -> ProposeFault | None:
        if self._fault is not None:
            return StoreFailed(self._fault)
        if self._is_closed:
            return NotLeader(None)
        pending = len(self._requests) + self._tracker.count
        if pending >= self._settings.max_pending_proposals:
            return Overloaded()
        return None

    def _enqueue(self, request: Pending) -> None:
        self._requests.append(request)
        self._wake.set()

    def _send_all(self, sends: tuple[Send, ...]) -> None:
        for send in sends:
            self._send(send.to, send.message)

    def _fail(self, fault: StoreFault) -> None:
        """Stop participating, since the store's state is unknown."""
        self._schedule_reopening(fault)
        self._abort_requests()
        _log.error(
            "store_failed",
            log=self._settings.log_name,
            replica=self._settings.name,
            fault=repr(fault),
        )

    def _abort_requests(self) -> None:
        self._tracker.abort_all()
        while self._requests:
            self._reject_request(self._requests.popleft())

    def _reject_request(self, request: Pending) -> None:
        """Reject a request that was not appended to the log."""
        fault = self._admission_fault() or NotLeader(None)
        match request:
            case PendingProposal(_, future):
                future.resolve(Err(fault))
            case PendingChange(_, change_future):
                change_future.resolve(Err(fault))
            case PendingRead(read_future):
                read_future.resolve(False)

    def _member_statuses(self, now: float) -> tuple[MemberStatus, ...]:
        core = self._core
        return tuple(
            MemberStatus(
                name=member.name,
                role=member.role,
                match_index=core.match_index(member.name),
                is_alive=core.is_alive(member.name, now),
            )
            for member in core.configuration.members
        )

    def _log_role_change(self) -> None:
        current = (self._core.role, self._core.term)
        if current == self._logged_role:
            return
        self._logged_role = current
        _log.info(
            "role_changed",
            log=self._settings.log_name,
            replica=self._settings.name,
            role=current[0].value,
            term=current[1],
            leader=self._core.leader,
        )

    def _log_member_change(self) -> None:
        """Log the configuration in force when it has changed."""
        current = self._core.configuration
        if current == self._logged_members:
            return
        self._logged_members = current
        voters = ",".join(voter.name for voter in current.voters)
        learners = (m.name for m in current.members if not m.is_voter)
        _log.info(
            "members_changed",
            log=self._settings.log_name,
            replica=self._settings.name,
            term=self._core.term,
            commit_index=self._core.commit_index,
            voters=voters,
            learners=",".join(learners),
        )

    def _log_election(self) -> None:
        """Log who did not vote in an election that was not won.

        An election is repeated every few hundred milliseconds, so it is
        logged only when other voters are missing than in the last one.
        """
        missing = self._core.missing_voters
        if missing == self._logged_missing:
            return
        self._logged_missing = missing
        if not missing:
            return
        configuration = self._core.configuration
        _log.info(
            "election_not_won",
            log=self._settings.log_name,
            replica=self._settings.name,
            term=self._core.term,
            last_index=self._core.last_index,
            missing=",".join(missing),
            voters=len(configuration.voters),
            quorum=configuration.quorum_size,
        )


async def _yield_to_connections() -> None:
    """Let the connections send what is queued and deliver what arrived.

    An entry may take a few hundred milliseconds to apply, and until
    then others would wait for replies that are only queued here.
    """
    for _ in range(CONNECTION_TURNS):
        await anyio.lowlevel.checkpoint()
