"""The replicated state machine of departures.

It is deterministic: the same commands in the same order give the same
records on every replica.  It reads no clock, so that a wrong time of
day makes no replica forget.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Final, TypeAlias

from rhubarbhollow_distribution.departure import Departure, DepartureKey

if TYPE_CHECKING:
    from rhubarbhollow_distribution.departure_command import RecordDepartures

# Announcements arrive seconds late at most, so the departures of the
# last seconds have to be kept.  This is twice the upstreams of the
# largest mesh, all of which may leave at once.
MAX_RECORDED: Final = 4_096
# A machine runs one upstream at a time.
MAX_RECORDED_PER_NODE: Final = 16

_Key: TypeAlias = tuple[str, DepartureKey]


@dataclass(frozen=True, slots=True)
class DeparturesRecorded:
    """The departures of a command are recorded."""

    node: str


class DepartureLedger:
    """Hold the latest departures, those recorded last at the end."""

    def __init__(self) -> None:
        self._records: dict[_Key, Departure] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no departure is recorded."""
        return not self._records

    def of(self, node: str) -> tuple[Departure, ...]:
        """Return the departures of upstreams beside a node."""
        return tuple(
            departure
            for (recorded_at, _), departure in self._records.items()
            if recorded_at == node
        )

    def apply(self, command: RecordDepartures) -> DeparturesRecorded:
        """Apply the next command of the log."""
        for departure in command.departures:
            self._record((command.node, departure.key), departure)
        self._forget_oldest(command.node)
        return DeparturesRecorded(command.node)

    def snapshot(self) -> bytes:
        """Encode the state; equal states give equal bytes."""
        document = [
            {"node": node, **asdict(departure)}
            for (node, _), departure in self._records.items()
        ]
        text = json.dumps(document, sort_keys=True, separators=(",", ":"))
        return text.encode()

    @classmethod
    def restore(cls, data: bytes) -> DepartureLedger:
        """Rebuild a ledger from its snapshot.

        Raises ``ValueError``, ``KeyError`` or ``TypeError`` for bytes
        that are no snapshot.
        """
        ledger = cls()
        for fields in json.loads(data):
            node = fields.pop("node")
            departure = Departure(**fields)
            ledger._records[node, departure.key] = departure
        return ledger

    def _record(self, key: _Key, departure: Departure) -> None:
        """Keep the later statement, since commands may be repeated."""
        known = self._records.pop(key, departure)
        later = departure if departure.order >= known.order else known
        self._records[key] = later

    def _forget_oldest(self, node: str) -> None:
        of_node = [key for key in self._records if key[0] == node]
        for key in of_node[:-MAX_RECORDED_PER_NODE]:
            del self._records[key]
        while len(self._records) > MAX_RECORDED:
            del self._records[next(iter(self._records))]
