"""Conversion of endpoint records to the endpoints that calls use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.endpoint_table import EndpointTable
from rhubarbhollow_distribution.endpoint_record import (
    EndpointState as RecordState,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_calls.upstream_selector import UpstreamSelector
    from rhubarbhollow_distribution.endpoint_record import EndpointRecord
    from rhubarbhollow_placement.upstream_load import UpstreamLoad
    from rhubarbhollow_wire.clock import Clock


class EndpointView:
    """Keep the upstreams that calls choose from in step with records.

    The endpoint table is replaced only when a field that routing
    depends on has changed. A change of load alone is passed on as a
    hint, without a new table.
    """

    def __init__(self, upstreams: UpstreamSelector, clock: Clock) -> None:
        self._upstreams = upstreams
        self._clock = clock
        self._endpoints: dict[str, Endpoint] = {}
        self._version = 0

    def update(self, records: Iterable[EndpointRecord]) -> None:
        """Apply changed records to the endpoint table and the loads."""
        changed = tuple(records)
        # A list, since ``any`` over a generator would short-circuit and
        # leave records unapplied.
        differences = [self._apply(record) for record in changed]
        if any(differences):
            self._version += 1
            table = EndpointTable(self._version, self._endpoints.values())
            self._upstreams.replace(table)
        for record in changed:
            if record.load_percent >= 0 and not record.is_gone:
                self._upstreams.report_load(
                    name_endpoint(record.node, record.name),
                    record.load_percent / 100,
                )

    def report_loads(self, loads: Iterable[UpstreamLoad]) -> None:
        """Pass on the loads that nodes have reported."""
        self._upstreams.report_loads(loads)

    def _apply(self, record: EndpointRecord) -> bool:
        name = name_endpoint(record.node, record.name)
        current = self._endpoints.get(name)
        if record.is_gone:
            return self._endpoints.pop(name, None) is not None
        endpoint = self._build(record, name, current)
        if endpoint == current:
            return False
        self._endpoints[name] = endpoint
        return True

    def _build(
        self,
        record: EndpointRecord,
        name: str,
        current: Endpoint | None,
    ) -> Endpoint:
        # Another version is another process beside the same node.
        is_same_incarnation = (
            current
            and current.incarnation == record.incarnation
            and current.version == record.version
        )
        joined_at = (
            current.joined_at
            if current and is_same_incarnation
            else self._clock.monotonic()
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
            version=record.version,
        )


def name_endpoint(node: str, upstream: str) -> str:
    """Return the name of an upstream instance, unique in the mesh."""
    return f"{node}/{upstream}"
