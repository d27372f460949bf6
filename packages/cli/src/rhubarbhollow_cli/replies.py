"""Parsing of the fields of servers' replies that commands use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Mapping

Value = TypeVar("Value", int, str, bool)


@dataclass(frozen=True, slots=True)
class ReplyFault:
    """A field that is missing or has an unexpected type."""

    field: str


@dataclass(frozen=True, slots=True)
class SubmissionReply:
    """The reply to a submitted release."""

    outcome: str
    position: int
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """How many known nodes have applied the active position."""

    is_fresh: bool
    active_position: int
    nodes_known: int
    nodes_in_force: int

    def is_in_force(self, position: int) -> bool:
        """Return whether every node has this position or a later one.

        Return ``False`` if the instance is not fresh, as its data may
        be outdated, or if no node has reported to it yet.
        """
        return (
            self.is_fresh
            and self.active_position >= position
            and 0 < self.nodes_known <= self.nodes_in_force
        )


@dataclass(frozen=True, slots=True)
class NodeProgress:
    """The position that one node has applied."""

    name: str
    control: str
    active_position: int


def read_submission_reply(
    document: Mapping[str, object],
) -> Result[SubmissionReply, ReplyFault]:
    """Parse the reply to a submitted release."""
    outcome = _read(document, "outcome", str)
    position = _read(document, "position", int)
    version = _read(document, "version", int)
    digest = _read(document, "digest", str)
    for each in (outcome, position, version, digest):
        if isinstance(each, Err):
            return each
    return Ok(
        SubmissionReply(
            outcome.unwrap(),
            position.unwrap(),
            version.unwrap(),
            digest.unwrap(),
        ),
    )


def read_fleet_status(
    document: Mapping[str, object],
) -> Result[FleetStatus, ReplyFault]:
    """Parse the fleet fields of an instance's status."""
    is_fresh = _read(document, "is_fresh", bool)
    active = _read(document, "active_position", int)
    known = _read(document, "nodes_known", int)
    in_force = _read(document, "nodes_in_force", int)
    for each in (is_fresh, active, known, in_force):
        if isinstance(each, Err):
            return each
    return Ok(
        FleetStatus(
            is_fresh.unwrap(),
            active.unwrap(),
            known.unwrap(),
            in_force.unwrap(),
        ),
    )


def read_nodes(
    document: Mapping[str, object],
) -> Result[tuple[NodeProgress, ...], ReplyFault]:
    """Parse a list of nodes."""
    rows = document.get("nodes")
    if not isinstance(rows, list):
        return Err(ReplyFault("nodes"))
    nodes: list[NodeProgress] = []
    for row in rows:
        if not isinstance(row, dict):
            return Err(ReplyFault("nodes"))
        name = _read(row, "name", str)
        control = _read(row, "control", str)
        active = _read(row, "active_position", int)
        for each in (name, control, active):
            if isinstance(each, Err):
                return each
        progress = NodeProgress(
            name.unwrap(),
            control.unwrap(),
            active.unwrap(),
        )
        nodes.append(progress)
    return Ok(tuple(nodes))


def read_highest_version(
    document: Mapping[str, object],
) -> Result[int, ReplyFault]:
    """Return the highest version in a list of releases, or 0."""
    releases = document.get("releases")
    if not isinstance(releases, list):
        return Err(ReplyFault("releases"))
    highest = 0
    for release in releases:
        if not isinstance(release, dict):
            return Err(ReplyFault("releases"))
        version = _read(release, "version", int)
        if isinstance(version, Err):
            return version
        highest = max(highest, version.ok_value)
    return Ok(highest)


def _read(
    document: Mapping[str, object],
    field: str,
    kind: type[Value],
) -> Result[Value, ReplyFault]:
    value = document.get(field)
    # isinstance() would accept a bool as an int.
    if type(value) is not kind:
        return Err(ReplyFault(field))
    return Ok(value)
