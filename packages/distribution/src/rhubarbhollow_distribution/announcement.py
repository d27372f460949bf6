"""The announcement that an upstream sends to its local node."""

from __future__ import annotations

import ipaddress
import json
import re
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from functools import cache
from importlib.resources import files
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

if TYPE_CHECKING:
    from jsonschema import Draft202012Validator
    from jsonschema.exceptions import ValidationError


# The name of a network interface.
_SCOPE: Final = re.compile("[A-Za-z0-9._-]{1,15}")


class AnnouncementFaultKind(StrEnum):
    """Classify a validation error of an announcement field."""

    MISSING = "missing"
    UNKNOWN = "unknown"
    WRONG_TYPE = "wrong_type"
    OUT_OF_RANGE = "out_of_range"
    BAD_VALUE = "bad_value"


_KINDS_BY_KEYWORD = {
    "required": AnnouncementFaultKind.MISSING,
    "additionalProperties": AnnouncementFaultKind.UNKNOWN,
    "type": AnnouncementFaultKind.WRONG_TYPE,
    "minimum": AnnouncementFaultKind.OUT_OF_RANGE,
    "maximum": AnnouncementFaultKind.OUT_OF_RANGE,
}


@dataclass(frozen=True, slots=True, order=True)
class AnnouncementFault:
    """Describe one validation error and the field that has it."""

    field: str
    kind: AnnouncementFaultKind
    detail: str


@dataclass(frozen=True, slots=True)
class AnnouncementFaults:
    """List all validation errors of an announcement, at least one."""

    faults: tuple[AnnouncementFault, ...]


@dataclass(frozen=True, slots=True)
class Announcement:
    """Describe an upstream instance that is ready to receive calls.

    ``load`` is a fraction from 0 to 1, or ``None`` if not reported.
    The upstream must repeat its announcement within ``lease``.
    ``started_at_ms`` distinguishes successive runs of its process; it
    is ``None`` if the upstream does not report its start time, and
    ``version`` is empty if it reports none.
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
    version: str = ""


def read_announcement(
    value: object,
) -> Result[Announcement, AnnouncementFaults]:
    """Validate a decoded JSON value; return all faults on error."""
    errors = _validator().iter_errors(value)
    faults = sorted(
        {fault for error in errors for fault in _to_faults(error, value)}
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
            version=fields.get("version", ""),
        )
    )


@cache
def _schema() -> dict[str, Any]:
    source = files(__package__).joinpath("announcement.schema.json")
    schema: dict[str, Any] = json.loads(source.read_text("utf-8"))
    return schema


@cache
def _validator() -> Draft202012Validator:
    # Importing jsonschema takes 0.1 s, so it is deferred to first use:
    # most processes never read an announcement.
    from jsonschema import (  # noqa: PLC0415
        Draft202012Validator,
        FormatChecker,
    )

    formats = FormatChecker(formats=())
    formats.checks("ip-address")(_is_ip_address)
    return Draft202012Validator(_schema(), format_checker=formats)


def _is_ip_address(value: object) -> bool:
    if not isinstance(value, str):
        return True
    try:
        address = ipaddress.ip_address(value)
    except ValueError:
        return False
    scope = getattr(address, "scope_id", None)
    return scope is None or _SCOPE.fullmatch(scope) is not None


def _to_faults(
    error: ValidationError,
    value: object,
) -> list[AnnouncementFault]:
    present = set(value) if isinstance(value, dict) else set()
    kind = _KINDS_BY_KEYWORD.get(
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
