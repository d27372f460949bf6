"""The node's report about the endpoints beside it."""

from dataclasses import dataclass

from rhubarbhollow_distribution.endpoint_record import EndpointRecord


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """Carry the records that changed, or all of them after a hello."""

    records: tuple[EndpointRecord, ...]
