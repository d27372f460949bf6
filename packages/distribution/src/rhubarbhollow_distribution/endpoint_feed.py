"""When one node is sent endpoint changes."""

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
    """Follow the endpoint store for one node, with coalescing.

    A node that holds a version of this very store gets what changed
    since, and any other the full table once.
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
        """Return the change to send now, or none."""
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
        """Return the time of the next change, if there is one."""
        is_followed = self._source == self._store.source
        if is_followed and self._version == self._store.version:
            return None
        window = self._settings.coalescing_seconds
        if is_followed and self._version >= self._store.urgent_version:
            window = max(window, self._settings.load_seconds)
        return self._sent_at + window
