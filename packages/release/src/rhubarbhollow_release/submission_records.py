"""Records of accepted releases, used to answer repeated submissions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_release.release_record import ReleaseRecord

MAX_RECORDS: Final = 20_000


class SubmissionRecords:
    """Store the records of the latest accepted releases.

    The oldest record is evicted when there are more than
    ``MAX_RECORDS``.
    """

    def __init__(
        self,
        records: Iterable[ReleaseRecord],
        forgotten_version: int,
    ) -> None:
        # Ordered by version, since dictionaries keep insertion order.
        self._records = {record.version: record for record in records}
        self._forgotten_version = forgotten_version

    @property
    def records(self) -> tuple[ReleaseRecord, ...]:
        """Return the stored records, oldest first."""
        return tuple(self._records.values())

    @property
    def highest_version(self) -> int:
        """Return the highest accepted version, or 0 if none was."""
        return next(reversed(self._records), 0)

    @property
    def lowest_version(self) -> int:
        """Return the lowest recorded version, or 0 if there is none."""
        return next(iter(self._records), 0)

    @property
    def forgotten_version(self) -> int:
        """Return the highest version whose record was evicted, or 0."""
        return self._forgotten_version

    def find(self, version: int) -> ReleaseRecord | None:
        """Return the record of a version, or ``None`` if not stored."""
        return self._records.get(version)

    def add(self, record: ReleaseRecord) -> None:
        """Append a record and evict the oldest beyond the limit."""
        self._records[record.version] = record
        while len(self._records) > MAX_RECORDS:
            version = self.lowest_version
            del self._records[version]
            self._forgotten_version = version
