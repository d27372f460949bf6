"""The first answers to submissions, kept to be given again."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_release.release_record import ReleaseRecord

MAX_RECORDS: Final = 20_000


class AnswerBook:
    """Keep the records of the latest accepted releases."""

    def __init__(
        self,
        records: Iterable[ReleaseRecord],
        forgotten_version: int,
    ) -> None:
        # rises by version, since dictionaries keep their order
        self._records = {record.version: record for record in records}
        self._forgotten_version = forgotten_version

    @property
    def records(self) -> tuple[ReleaseRecord, ...]:
        """Return the kept records, the oldest first."""
        return tuple(self._records.values())

    @property
    def highest_version(self) -> int:
        """Return the highest accepted version, 0 before the first."""
        return next(reversed(self._records), 0)

    @property
    def lowest_version(self) -> int:
        """Return the lowest version on record, 0 before the first."""
        return next(iter(self._records), 0)

    @property
    def forgotten_version(self) -> int:
        """Return the highest version that has left the records."""
        return self._forgotten_version

    def find(self, version: int) -> ReleaseRecord | None:
        """Return the record of a version while it is kept."""
        return self._records.get(version)

    def add(self, record: ReleaseRecord) -> None:
        """Take the next record, and forget the oldest when full."""
        self._records[record.version] = record
        while len(self._records) > MAX_RECORDS:
            version = self.lowest_version
            del self._records[version]
            self._forgotten_version = version
