"""A change of the endpoint table between two versions."""

from dataclasses import dataclass

from rhubarbhollow_distribution.endpoint_record import EndpointRecord


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """Lead from ``base_version`` to ``version`` of one source's table.

    Versions belong to ``source``: a table that was built from another
    source needs a full change first.  A full change lists every record
    that the source holds, and what it does not list is gone.
    """

    source: str
    base_version: int
    version: int
    records: tuple[EndpointRecord, ...]
    is_full: bool
