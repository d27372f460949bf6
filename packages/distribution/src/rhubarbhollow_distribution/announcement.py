"""What an upstream says of itself to the node beside it."""

from __future__ import annotations

import ipaddress
import json
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from functools import cache
from importlib.resources import files
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

if TYPE_CHECKING:
    from jsonschema import Draft202012Validator
    from jsonschema.exceptions import ValidationError


class AnnouncementFaultKind(StrEnum):
    """Classify what is wrong with a field."""

    MISSING = "missing"
    UNKNOWN = "unknown"
    WRONG_TYPE = "wrong_type"
    OUT_OF_RANGE = "out_of_range"
    BAD_VALUE = "bad_value"


_KINDS = {
    "required": AnnouncementFaultKind.MISSING,
    "additionalProperties": AnnouncementFaultKind.UNKNOWN,
    "type": AnnouncementFaultKind.WRONG_TYPE,
    "minimum": AnnouncementFaultKind.OUT_OF_RANGE,
    "maximum": AnnouncementFaultKind.OUT_OF_RANGE,
}


@dataclass(frozen=True, slots=True, order=True)
class AnnouncementFault:
    """Name one fault by the field that has it."""

    field: str
    kind: AnnouncementFaultKind
    detail: str


@dataclass(frozen=True, slots=True)
class AnnouncementFaults:
    """Hold all faults of an announcement; there is at least one."""

    faults: tuple[AnnouncementFault, ...]


@dataclass(frozen=True, slots=True)
class Announcement:
    """Describe an upstream instance that wants to receive work.

    ``load`` is a share from 0 to 1, or none when it is not reported.
    The upstream repeats its announcement within ``lease``.
    ``started_at_ms`` tells one run of its process from the next, where
    the upstream says when it started.
    """

    name: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    lease: timedelta
    is_leaving: bool = False
    load: float | None = None
    started_at_ms: int | None = None


def read_announcement(
    value: object,
) -> Result[Announcement, AnnouncementFaults]:
    """Read a decoded JSON value; report every fault by its field."""
    errors = _validator().iter_errors(value)
    faults = sorted(
        {fault for error in errors for fault in _faults_of(error, value)}
    )
    if faults:
        return Err(AnnouncementFaults(tuple(faults)))
    fields: dict[str, Any] = dict(value)  # type: ignore[call-overload]
    return Ok(
        Announcement(
            name=fields["name"],
            service=fields["service"],
            host=fields["host"],
            port=int(fields["port"]),
            slots=int(fields["slots"]),
            connections=int(fields["connections"]),
            lease=timedelta(seconds=fields["lease_seconds"]),
            is_leaving=fields.get("state") == "leaving",
            load=fields.get("load"),
        )
    )


@cache
def _schema() -> dict[str, Any]:
    source = files(__package__).joinpath("announcement.schema.json")
    schema: dict[str, Any] = json.loads(source.read_text("utf-8"))
    return schema


@cache
def _validator() -> Draft202012Validator:
    # a tenth of a second at the start, which most processes can save
    from jsonschema import (  # noqa: PLC0415
        Draft202012Validator,
        FormatChecker,
    )

    formats = FormatChecker(formats=())
    formats.checks("ip-address")(_is_address)
    return Draft202012Validator(_schema(), format_checker=formats)


def _is_address(value: object) -> bool:
    if not isinstance(value, str):
        return True
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def _faults_of(
    error: ValidationError,
    value: object,
) -> list[AnnouncementFault]:
    present = set(value) if isinstance(value, dict) else set()
    kind = _KINDS.get(
        str(error.validator),
        AnnouncementFaultKind.BAD_VALUE,
    )
    match kind:
        case AnnouncementFaultKind.MISSING:
            absent = set(_schema()["required"]) - present
            return [AnnouncementFault(name, kind, "") for name in absent]
        case AnnouncementFaultKind.UNKNOWN:
            unknown = present - set(_schema()["properties"])
            return [
                AnnouncementFault(ascii(name), kind, "") for name in unknown
            ]
        case _:
            name = str(error.path[0]) if error.path else ""
            return [AnnouncementFault(name, kind, error.message)]
