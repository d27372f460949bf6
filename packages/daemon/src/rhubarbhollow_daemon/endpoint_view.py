"""The endpoints that a node's calls choose from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.endpoint_table import EndpointTable
from rhubarbhollow_distribution.endpoint_record import (
    EndpointState as RecordState,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_calls.upstream_book import UpstreamBook
    from rhubarbhollow_distribution.endpoint_record import EndpointRecord
    from rhubarbhollow_wire.clock import Clock


class EndpointView:
    """Carry endpoint records over to the book that calls use.

    The book is rebuilt only when something that routing depends on has
    changed; a load alone is passed on as the hint that it is.
    """

    def __init__(self, book: UpstreamBook, clock: Clock) -> None:
        self._book = book
        self._clock = clock
        self._endpoints: dict[str, Endpoint] = {}
        self._version = 0

    def update(self, records: Iterable[EndpointRecord]) -> None:
        """Take over records that have changed."""
        changed = tuple(records)
        # every record is taken over, so no short circuit here
        differences = [self._take(record) for record in changed]
        if any(differences):
            self._version += 1
            table = EndpointTable(self._version, self._endpoints.values())
            self._book.replace(table)
        for record in changed:
            if record.load_percent >= 0 and not record.is_gone:
                self._book.report_load(
                    name_endpoint(record.node, record.name),
                    record.load_percent / 100,
                )

    def _take(self, record: EndpointRecord) -> bool:
        name = name_endpoint(record.node, record.name)
        known = self._endpoints.get(name)
        if record.is_gone:
            return self._endpoints.pop(name, None) is not None
        endpoint = self._build(record, name, known)
        if endpoint == known:
            return False
        self._endpoints[name] = endpoint
        return True

    def _build(
        self,
        record: EndpointRecord,
        name: str,
        known: Endpoint | None,
    ) -> Endpoint:
        is_same = known and known.incarnation == record.incarnation
        joined_at = (
            known.joined_at if known and is_same else self._clock.monotonic()
        )
        is_up = record.state == RecordState.UP
        return Endpoint(
            name=name,
            service=record.service,
            data_centre=record.data_centre,
            node=record.node,
            peer_host=record.peer_host,
            peer_port=record.peer_port,
            slots=record.slots,
            state=EndpointState.UP if is_up else EndpointState.LEAVING,
            incarnation=record.incarnation,
            joined_at=joined_at,
        )


def name_endpoint(node: str, upstream: str) -> str:
    """Return the name of an upstream that is unique in the mesh."""
    return f"{node}/{upstream}"
