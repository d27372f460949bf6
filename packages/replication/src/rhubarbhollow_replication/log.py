"""In-memory log entries of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_replication.invariants import require

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from rhubarbhollow_replication.entry import Entry


class Log:
    """The log entries after the base index.

    Entries up to the base index are covered by a snapshot.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self._base_index = base_index
        self._base_term = base_term
        self._entries: list[Entry] = []
        self._payload_bytes = 0

    @property
    def base_index(self) -> int:
        """The last index that has been compacted."""
        return self._base_index

    @property
    def base_term(self) -> int:
        """The term of the entry at the base index."""
        return self._base_term

    @property
    def last_index(self) -> int:
        """The index of the newest entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the newest entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def payload_bytes(self) -> int:
        """The total size of the payloads in the log."""
        return self._payload_bytes

    def term_at(self, index: int) -> int | None:
        """Return the term at ``index``, or ``None`` if unknown."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def read(self, first: int, last: int) -> Iterator[Entry]:
        """Yield the entries from ``first`` to ``last`` inclusive."""
        require(
            first > self._base_index,
            "entries up to the base index cannot be read",
        )
        start = first - self._base_index - 1
        yield from self._entries[start : max(start, last - self._base_index)]

    def read_batch(self, first: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return a batch of entries that starts at ``first``.

        The first entry is included even if it exceeds ``max_bytes``.
        """
        require(
            first > self._base_index,
            "entries up to the base index cannot be read",
        )
        batch: list[Entry] = []
        size = 0
        for position in range(
            first - self._base_index - 1, len(self._entries)
        ):
            entry = self._entries[position]
            size += len(entry.payload)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def first_index_of_term(self, index: int) -> int:
        """Return the first index with the same term as ``index``."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term and index > self._base_index:
            index -= 1
        return index

    def append(self, entries: Iterable[Entry]) -> None:
        """Append entries that directly follow the last one."""
        for entry in entries:
            require(
                entry.index == self.last_index + 1,
                "an appended entry must directly follow the last index",
            )
            require(
                entry.term >= self.last_term,
                "the term must not decrease along the log",
            )
            self._entries.append(entry)
            self._payload_bytes += len(entry.payload)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        require(
            index > self._base_index,
            "the log must not be truncated at or below its base index",
        )
        start = index - self._base_index - 1
        dropped = self._entries[start:]
        self._payload_bytes -= sum(len(e.payload) for e in dropped)
        del self._entries[start:]

    def compact(self, index: int) -> None:
        """Remove the entries up to ``index`` and make it the base."""
        term = self.term_at(index)
        require(term is not None, "the compaction index is outside the log")
        count = index - self._base_index
        dropped = self._entries[:count]
        self._payload_bytes -= sum(len(e.payload) for e in dropped)
        del self._entries[:count]
        self._base_index, self._base_term = index, term or 0
