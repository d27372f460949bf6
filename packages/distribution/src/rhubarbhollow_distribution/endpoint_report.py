"""The message in which a node reports its local endpoints."""

from dataclasses import dataclass

from rhubarbhollow_distribution.endpoint_record import EndpointRecord


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """List the changed records, or all of them after a hello."""

    records: tuple[EndpointRecord, ...]
