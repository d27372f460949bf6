"""The record with which a node describes one local endpoint."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Final, TypeAlias

from rhubarbhollow_distribution.control_address import MAX_PORT, is_host

MAX_SLOTS: Final = 10_000
MAX_LOAD_PERCENT: Final = 100
# Half of what the wire carries, so that a higher incarnation than that
# of any record can be assigned.
MAX_ORDER: Final = 1 << 61
MAX_TEXT_CHARACTERS: Final = 255
# Visible ASCII characters, since the name is a field of each call.
_NAME: Final = re.compile(f"[!-~]{{1,{MAX_TEXT_CHARACTERS}}}")

EndpointKey: TypeAlias = tuple[str, str]


class EndpointState(IntEnum):
    """Classify whether an endpoint accepts new calls."""

    UP = 1
    LEAVING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Describe one endpoint; the later of two records wins.

    An endpoint is identified by its node and its name.  Its records are
    ordered by ``(incarnation, sequence)``.  Only the node assigns the
    sequence; a control instance may raise the incarnation (see
    ``Welcome``).  A record in state ``GONE`` is a tombstone.  The
    version is that of the upstream's program, empty if it states none.
    """

    name: str
    service: str
    node: str
    data_centre: str
    peer_host: str
    peer_port: int
    slots: int
    state: int
    load_percent: int
    incarnation: int
    sequence: int
    version: str = ""

    @property
    def key(self) -> EndpointKey:
        """Return the unique key of this endpoint in the mesh."""
        return (self.node, self.name)

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key by which the later record wins."""
        return (self.incarnation, self.sequence)

    @property
    def is_gone(self) -> bool:
        """Return whether this record is a tombstone."""
        return self.state == EndpointState.GONE

    def to_tombstone(self) -> EndpointRecord:
        """Return a tombstone of the same order."""
        return replace(self, state=int(EndpointState.GONE))


def is_endpoint_name(name: str) -> bool:
    """Return whether a text can name an endpoint of a node."""
    return bool(_NAME.fullmatch(name))


def is_usable(record: EndpointRecord) -> bool:
    """Return whether a record from another process can be used."""
    texts = (
        record.service,
        record.node,
        record.data_centre,
        record.version,
    )
    numbers = (
        (record.peer_port, 1, MAX_PORT),
        (record.slots, 1, MAX_SLOTS),
        (record.state, min(EndpointState), max(EndpointState)),
        # A negative load is one that is not known.
        (record.load_percent, -1, MAX_LOAD_PERCENT),
        (record.incarnation, 0, MAX_ORDER),
        (record.sequence, 0, MAX_ORDER),
    )
    return (
        is_endpoint_name(record.name)
        and is_host(record.peer_host)
        and all(len(text) <= MAX_TEXT_CHARACTERS for text in texts)
        and all(low <= number <= high for number, low, high in numbers)
    )
