"""The message that updates a node's endpoint table."""

from dataclasses import dataclass

from rhubarbhollow_distribution.endpoint_record import EndpointRecord


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """Update a table from ``base_version`` to ``version``.

    Versions are scoped to ``source``: a table that was built from
    another source needs a full change first.  A full change lists every
    record of the source; endpoints that it does not list no longer
    exist.
    """

    source: str
    base_version: int
    version: int
    records: tuple[EndpointRecord, ...]
    is_full: bool
