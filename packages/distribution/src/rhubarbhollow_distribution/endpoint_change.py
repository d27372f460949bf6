"""The message that updates a node's endpoint table."""

from dataclasses import dataclass, replace

from rhubarbhollow_distribution.endpoint_record import (
    EndpointRecord,
    is_usable,
)


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


def leave_out_unusable(change: EndpointChange) -> EndpointChange:
    """Return the change without the records that cannot be used."""
    records = tuple(filter(is_usable, change.records))
    if len(records) == len(change.records):
        return change
    return replace(change, records=records)
