"""Exchange of endpoints between control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_daemon.messages import EndpointsRequest
from rhubarbhollow_distribution.endpoint_change import EndpointChange

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_distribution.endpoint_pacer import EndpointPacer
    from rhubarbhollow_distribution.endpoint_record import EndpointRecord
    from rhubarbhollow_distribution.endpoint_store import EndpointStore
    from rhubarbhollow_wire.clock import Clock

BEAT_SECONDS: Final = 1.0
SILENCE_SECONDS: Final = 3.0
NEVER: Final = float("inf")


class EndpointExchange:
    """Tell the others what this instance vouches for, and listen.

    Each change names the version that it follows. A receiver that
    missed one asks for the full list, so a lost message costs one
    round trip and never a stale endpoint for longer than a beat.
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
        self._beat_at = clock.monotonic()
        self._generations: dict[str, int] = {}
        self._seen: dict[str, tuple[str, int]] = {}
        self._heard_at: dict[str, float] = {}

    @property
    def next_due(self) -> float:
        """Return the time at which collected records may be sent."""
        due = self._pacer.next_due()
        return NEVER if due is None else due

    def publish(self, records: Iterable[EndpointRecord]) -> None:
        """Take changed records of local nodes, for the others."""
        self._pacer.add(records)
        self.flush()

    def flush(self) -> None:
        """Send the changed records whose time has come."""
        changed = self._pacer.take()
        if not changed:
            return
        base = self._version
        self._version += 1
        for name, link in self._links.by_name.items():
            if self._is_following(name):
                link.send(self._change(base, changed))

    def tick(self) -> None:
        """Greet new links, beat on the others, note silent ones."""
        now = self._clock.monotonic()
        is_beat_due = now >= self._beat_at
        if is_beat_due:
            self._beat_at = now + BEAT_SECONDS
        for name, link in self._links.by_name.items():
            if not link.is_up:
                continue
            if not self._is_following(name):
                self._generations[name] = link.generation
                link.send(self._full())
            elif is_beat_due:
                link.send(self._change(self._version, ()))
        self._note_silent(now)

    def receive(self, control: str, change: EndpointChange) -> None:
        """Merge what another control instance vouches for."""
        self._heard_at[control] = self._clock.monotonic()
        if change.is_full:
            self._store.replace_all(change.records, control)
        elif self._seen.get(control) == (change.source, change.base_version):
            self._store.merge(change.records, control)
        else:
            self._links.send(control, EndpointsRequest(self._own_name))
            return
        self._seen[control] = (change.source, change.version)

    def answer(self, control: str) -> None:
        """Send the full list to one that asked for it."""
        self._links.send(control, self._full())

    def _is_following(self, name: str) -> bool:
        link = self._links.by_name[name]
        return link.is_up and self._generations.get(name) == link.generation

    def _note_silent(self, now: float) -> None:
        for control, heard_at in self._heard_at.items():
            if now >= heard_at + SILENCE_SECONDS:
                self._store.note_lost(control)

    def _full(self) -> EndpointChange:
        return EndpointChange(
            self._store.source,
            0,
            self._version,
            self._store.own_records(),
            is_full=True,
        )

    def _change(
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
