"""Conversion of resources between items, JSON values and bodies."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final, TypeAlias

from result import Err, Ok, Result

from rhubarbhollow_release import field_checks as checks
from rhubarbhollow_release.manifest_fault import (
    FaultKind,
    ManifestFault,
    ManifestFaults,
    single_fault,
)
from rhubarbhollow_release.note import Note
from rhubarbhollow_release.objectives import Objectives
from rhubarbhollow_release.priority import Priority
from rhubarbhollow_release.resource_kind import ResourceKind
from rhubarbhollow_release.retry_policy import RetryPolicy
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.service import Service
from rhubarbhollow_release.split import Split
from rhubarbhollow_release.tenant_entry import TenantEntry

if TYPE_CHECKING:
    from collections.abc import Mapping

Item: TypeAlias = Service | Route | RetryPolicy | Note | TenantEntry

_OBJECTIVES_CHECKS: Final[Mapping[str, checks.FieldCheck]] = {
    "availability": checks.is_objective_ratio,
    "latency_ms": checks.optional(checks.is_timeout_ms),
    "latency_ratio": checks.optional(checks.is_objective_ratio),
}


def _is_objectives(value: object) -> bool:
    return (
        isinstance(value, dict)
        and value.keys() == _OBJECTIVES_CHECKS.keys()
        and all(
            check(value[field]) for field, check in _OBJECTIVES_CHECKS.items()
        )
    )


def _is_splits(value: object) -> bool:
    return (
        isinstance(value, list)
        and 0 < len(value) <= checks.MAX_SPLITS
        and all(
            isinstance(split, dict)
            and split.keys() == {"service", "weight"}
            and checks.is_name(split["service"])
            and checks.is_weight(split["weight"])
            for split in value
        )
        and any(split["weight"] > 0 for split in value)
    )


# A body omits these fields when they have their default values.
_OPTIONAL_CHECKS: Final[
    Mapping[ResourceKind, Mapping[str, checks.FieldCheck]]
] = {
    ResourceKind.NOTE: {},
    ResourceKind.RETRY_POLICY: {},
    ResourceKind.ROUTE: {
        "annotation": checks.is_annotation,
        "latency_ms": checks.is_timeout_ms,
        "public": checks.is_flag,
        "rank": checks.is_rank,
        "splits": _is_splits,
    },
    ResourceKind.SERVICE: {"annotation": checks.is_annotation},
    ResourceKind.TENANT: {
        "annotation": checks.is_annotation,
        "burst": checks.is_rate,
        "rate": checks.is_rate,
        "title": checks.is_title,
    },
}

_CHECKS: Final[Mapping[ResourceKind, Mapping[str, checks.FieldCheck]]] = {
    ResourceKind.NOTE: {
        "name": checks.is_name,
        "text": checks.is_annotation,
    },
    ResourceKind.RETRY_POLICY: {
        "name": checks.is_name,
        "attempts": checks.is_attempts,
        "budget_ratio": checks.is_budget_ratio,
    },
    ResourceKind.ROUTE: {
        "name": checks.is_name,
        "host": checks.is_host,
        "prefix": checks.is_prefix,
        "service": checks.is_name,
        "timeout_ms": checks.is_timeout_ms,
        "retry_policy": checks.optional(checks.is_name),
        "priority": checks.is_priority,
        "idempotent": checks.is_flag,
    },
    ResourceKind.SERVICE: {
        "name": checks.is_name,
        "depends_on": checks.is_dependency_list,
        "fallback": checks.optional(checks.is_name),
        "objectives": checks.optional(_is_objectives),
    },
    ResourceKind.TENANT: {
        "name": checks.is_name,
        "key_digests": checks.is_key_digest_list,
        "priority": checks.is_rank,
    },
}


_ALL_CHECKS: Final[Mapping[ResourceKind, Mapping[str, checks.FieldCheck]]] = {
    kind: {**_CHECKS[kind], **_OPTIONAL_CHECKS[kind]} for kind in ResourceKind
}
_ENCODER: Final = json.JSONEncoder(
    allow_nan=False,
    ensure_ascii=False,
    separators=(",", ":"),
    sort_keys=True,
)

_KINDS: Final[Mapping[type, ResourceKind]] = {
    Service: ResourceKind.SERVICE,
    Route: ResourceKind.ROUTE,
    RetryPolicy: ResourceKind.RETRY_POLICY,
    Note: ResourceKind.NOTE,
    TenantEntry: ResourceKind.TENANT,
}


def kind_of(item: Item) -> ResourceKind:
    """Return the resource kind of an item."""
    return _KINDS[type(item)]


def encode_json(value: object) -> bytes:
    """Encode a value as canonical JSON.

    Keys are sorted, there is no white space and characters outside
    ASCII are written as UTF-8.  Equal values give equal bytes.
    """
    return _ENCODER.encode(value).encode()


def encode_item(item: Item) -> bytes:
    """Encode an item as its canonical body.

    All fields are present, except that an annotation, latency, rank,
    list of splits, rate, burst or title is omitted if the item has
    none, and ``public`` if it is false.
    """
    return encode_json(_to_json(item))


def decode_item(
    kind: ResourceKind, body: bytes
) -> Result[Item, ManifestFaults]:
    """Decode a canonical body, rejecting any other encoding of it."""
    try:
        value = json.loads(body.decode())
    except (ValueError, RecursionError) as error:
        return Err(single_fault("", FaultKind.SYNTAX, ascii(str(error))))
    if not isinstance(value, dict):
        return Err(single_fault("", FaultKind.WRONG_TYPE, "not a JSON object"))
    if not _are_fields_valid(value, kind):
        faults = _check_fields(value, _CHECKS[kind], _OPTIONAL_CHECKS[kind])
        return Err(ManifestFaults(tuple(faults)))
    item = read_item(kind, value)
    if encode_item(item) != body:
        return Err(
            single_fault(
                "", FaultKind.NOT_CANONICAL, "body is not in canonical form"
            )
        )
    return Ok(item)


def read_item(kind: ResourceKind, value: Mapping[str, Any]) -> Item:
    """Build an item from a JSON value whose fields are already checked.

    Optional fields may be absent.
    """
    match kind:
        case ResourceKind.SERVICE:
            return _read_service(value)
        case ResourceKind.ROUTE:
            return _read_route(value)
        case ResourceKind.RETRY_POLICY:
            return _read_retry_policy(value)
        case ResourceKind.NOTE:
            return Note(value["name"], value["text"])
        case ResourceKind.TENANT:
            return _read_tenant(value)


def _are_fields_valid(value: Mapping[str, object], kind: ResourceKind) -> bool:
    """Return whether ``_check_fields`` would find no fault, fast."""
    known = _ALL_CHECKS[kind]
    if not _CHECKS[kind].keys() <= value.keys() <= known.keys():
        return False
    return all(known[field](member) for field, member in value.items())


def _check_fields(
    value: Mapping[str, object],
    required: Mapping[str, checks.FieldCheck],
    optional: Mapping[str, checks.FieldCheck],
) -> list[ManifestFault]:
    fields = {**required, **optional}
    unknown = [
        ManifestFault("", FaultKind.UNKNOWN_FIELD, ascii(field))
        for field in value.keys() - fields.keys()
    ]
    missing = [
        ManifestFault("", FaultKind.MISSING_FIELD, field)
        for field in required.keys() - value.keys()
    ]
    wrong = [
        ManifestFault(
            f"/{field}",
            FaultKind.BAD_VALUE,
            "value is not allowed in this field",
        )
        for field, check in fields.items()
        if field in value and not check(value[field])
    ]
    return sorted(unknown + missing + wrong)


def _to_json(item: Item) -> dict[str, object]:
    match item:
        case Service():
            return {
                "name": item.name,
                "depends_on": sorted(item.depends_on),
                "fallback": item.fallback,
                "objectives": _objectives_to_json(item.objectives),
                **_without_none(annotation=item.annotation or None),
            }
        case Route():
            return {
                "name": item.name,
                "host": item.host,
                "prefix": item.prefix,
                "service": item.service,
                "timeout_ms": item.timeout_ms,
                "retry_policy": item.retry_policy,
                "priority": item.priority.value,
                "idempotent": item.is_idempotent,
                **_without_none(
                    annotation=item.annotation or None,
                    latency_ms=item.latency_ms,
                    public=item.is_public or None,
                    rank=item.rank,
                    splits=_splits_to_json(item.splits),
                ),
            }
        case RetryPolicy():
            return {
                "name": item.name,
                "attempts": item.attempts,
                "budget_ratio": float(item.budget_ratio),
            }
        case Note():
            return {"name": item.name, "text": item.text}
        case TenantEntry():
            return {
                "name": item.name,
                "key_digests": sorted(item.key_digests),
                "priority": item.priority,
                **_without_none(
                    annotation=item.annotation or None,
                    burst=float(item.burst) or None,
                    rate=float(item.rate) or None,
                    title=item.title or None,
                ),
            }


def _without_none(**values: object) -> dict[str, object]:
    return {
        field: value for field, value in values.items() if value is not None
    }


def _splits_to_json(
    splits: tuple[Split, ...],
) -> list[dict[str, object]] | None:
    return [
        {"service": split.service, "weight": float(split.weight)}
        for split in splits
    ] or None


def _objectives_to_json(
    objectives: Objectives | None,
) -> dict[str, object] | None:
    if objectives is None:
        return None
    return {
        "availability": objectives.availability,
        "latency_ms": objectives.latency_ms,
        "latency_ratio": objectives.latency_ratio,
    }


def _read_service(value: Mapping[str, Any]) -> Service:
    return Service(
        name=value["name"],
        depends_on=tuple(sorted(value.get("depends_on", ()))),
        fallback=value.get("fallback"),
        objectives=_read_objectives(value.get("objectives")),
        annotation=value.get("annotation", ""),
    )


def _read_objectives(value: Mapping[str, Any] | None) -> Objectives | None:
    if value is None:
        return None
    return Objectives(
        availability=value["availability"],
        latency_ms=value.get("latency_ms"),
        latency_ratio=value.get("latency_ratio"),
    )


def _read_route(value: Mapping[str, Any]) -> Route:
    return Route(
        name=value["name"],
        host=value["host"],
        prefix=value["prefix"],
        service=value["service"],
        timeout_ms=value["timeout_ms"],
        retry_policy=value.get("retry_policy"),
        priority=Priority(value.get("priority", "interactive")),
        is_idempotent=value.get("idempotent", False),
        splits=tuple(
            Split(split["service"], float(split["weight"]))
            for split in value.get("splits", ())
        ),
        rank=value.get("rank"),
        latency_ms=value.get("latency_ms"),
        is_public=value.get("public", False),
        annotation=value.get("annotation", ""),
    )


def _read_retry_policy(value: Mapping[str, Any]) -> RetryPolicy:
    return RetryPolicy(
        name=value["name"],
        attempts=value["attempts"],
        budget_ratio=float(value["budget_ratio"]),
    )


def _read_tenant(value: Mapping[str, Any]) -> TenantEntry:
    return TenantEntry(
        name=value["name"],
        key_digests=tuple(sorted(value.get("key_digests", ()))),
        priority=value.get("priority", 0),
        rate=float(value.get("rate", 0)),
        burst=float(value.get("burst", 0)),
        title=value.get("title", ""),
        annotation=value.get("annotation", ""),
    )
