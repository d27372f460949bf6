"""Replication of endpoint records between control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import structlog

from rhubarbhollow_daemon.node_messages import EndpointsRequest
from rhubarbhollow_distribution.endpoint_change import (
    EndpointChange,
    leave_out_unusable,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_distribution.endpoint_pacer import EndpointPacer
    from rhubarbhollow_distribution.endpoint_record import EndpointRecord
    from rhubarbhollow_distribution.endpoint_store import EndpointStore
    from rhubarbhollow_wire.clock import Clock

HEARTBEAT_SECONDS: Final = 1.0
PEER_TIMEOUT_SECONDS: Final = 3.0
NEVER: Final = float("inf")

_log = structlog.get_logger()


class EndpointExchange:
    """Send this instance's endpoint records to peers and merge theirs.

    Each incremental change names the version that it follows. A
    receiver that missed a version requests the full list, so a lost
    message costs one round trip. A missed version is detected at the
    next heartbeat that arrives, if no change arrives earlier.
    """

    def __init__(
        self,
        own_name: str,
        store: EndpointStore,
        links: PeerLinks,
        clock: Clock,
        pacer: EndpointPacer,
    ) -> None:
        self._own_name = own_name
        self._store = store
        self._links = links
        self._clock = clock
        self._pacer = pacer
        self._version = 0
        self._next_heartbeat_at = clock.monotonic()
        self._full_list_generations: dict[str, int] = {}
        self._received_versions: dict[str, tuple[str, int]] = {}
        self._last_received_at: dict[str, float] = {}

    @property
    def next_due(self) -> float:
        """Return when the queued records may be sent, or infinity."""
        due = self._pacer.next_due()
        return NEVER if due is None else due

    def publish(self, records: Iterable[EndpointRecord]) -> None:
        """Queue changed records of local nodes for the peers."""
        self._pacer.add(records)
        self.flush()

    def flush(self) -> None:
        """Send the queued records if they are due."""
        changed = self._pacer.take()
        if not changed:
            return
        base = self._version
        self._version += 1
        for name, link in self._links.by_name.items():
            if self._has_full_list(name):
                link.send(self._build_change(base, changed))

    def tick(self) -> None:
        """Send full lists and heartbeats, and detect silent peers.

        A newly connected link gets the full list; the others get an
        empty change, which shows a receiver that it missed a version.
        """
        now = self._clock.monotonic()
        is_heartbeat_due = now >= self._next_heartbeat_at
        if is_heartbeat_due:
            self._next_heartbeat_at = now + HEARTBEAT_SECONDS
        for name, link in self._links.by_name.items():
            if not link.is_up:
                continue
            if not self._has_full_list(name):
                self._full_list_generations[name] = link.generation
                link.send(self._build_full_list())
            elif is_heartbeat_due:
                link.send(self._build_change(self._version, ()))
        self._detect_silent_peers(now)

    def receive(self, control: str, change: EndpointChange) -> None:
        """Merge a change to the records that ``control`` owns.

        Requests the full list instead if the change does not follow
        the version received last.  Unusable records are left out.
        """
        usable = leave_out_unusable(change)
        if usable is not change:
            _log.warning("endpoint_records_refused", peer=control)
        self._last_received_at[control] = self._clock.monotonic()
        if change.is_full:
            self._store.replace_all(usable.records, control)
        elif self._received_versions.get(control) == (
            change.source,
            change.base_version,
        ):
            self._store.merge(usable.records, control)
        else:
            self._links.send(control, EndpointsRequest(self._own_name))
            return
        self._received_versions[control] = (change.source, change.version)

    def answer(self, control: str) -> None:
        """Send the full list to the ``control`` that requested it."""
        self._links.send(control, self._build_full_list())

    def _has_full_list(self, name: str) -> bool:
        link = self._links.by_name[name]
        return (
            link.is_up
            and self._full_list_generations.get(name) == link.generation
        )

    def _detect_silent_peers(self, now: float) -> None:
        for control, received_at in self._last_received_at.items():
            if now >= received_at + PEER_TIMEOUT_SECONDS:
                self._store.note_lost(control)

    def _build_full_list(self) -> EndpointChange:
        return EndpointChange(
            self._store.source,
            0,
            self._version,
            self._store.own_records(),
            is_full=True,
        )

    def _build_change(
        self,
        base: int,
        records: tuple[EndpointRecord, ...],
    ) -> EndpointChange:
        return EndpointChange(
            self._store.source,
            base,
            self._version,
            records,
            is_full=False,
        )
