"""Scheduling of the endpoint changes sent to one node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_distribution.endpoint_change import EndpointChange
    from rhubarbhollow_distribution.endpoint_store import EndpointStore
    from rhubarbhollow_distribution.feed_settings import FeedSettings
    from rhubarbhollow_distribution.hello import Hello
    from rhubarbhollow_wire.clock import Clock

NEVER: Final = float("-inf")


class EndpointFeed:
    """Send the changes of the endpoint store to one node, coalesced.

    A node whose table is based on a version of this store receives the
    changes since that version.  Any other node first receives the full
    table.
    """

    def __init__(
        self,
        hello: Hello,
        store: EndpointStore,
        settings: FeedSettings,
        clock: Clock,
    ) -> None:
        self._store = store
        self._settings = settings
        self._clock = clock
        self._source = hello.endpoints_source
        self._version = hello.endpoints_version
        self._sent_at = NEVER

    def next_change(self) -> EndpointChange | None:
        """Return the change to send now, or ``None``."""
        due = self.next_due()
        now = self._clock.monotonic()
        if due is None or now < due:
            return None
        change = self._store.changes_since(self._source, self._version)
        self._source = change.source
        self._version = change.version
        self._sent_at = now
        return change

    def next_due(self) -> float | None:
        """Return when the next change is due, or ``None``."""
        is_same_source = self._source == self._store.source
        if is_same_source and self._version == self._store.version:
            return None
        window = self._settings.coalescing_seconds
        if is_same_source and self._version >= self._store.urgent_version:
            window = max(window, self._settings.load_seconds)
        return self._sent_at + window
