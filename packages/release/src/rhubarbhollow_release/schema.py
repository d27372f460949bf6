"""Validation of documents against the published JSON Schema."""

from __future__ import annotations

import json
from functools import lru_cache
from importlib.resources import files
from typing import TYPE_CHECKING, Any, Final, cast

from rhubarbhollow_release.canonical import SECTIONS
from rhubarbhollow_release.manifest_fault import (
    FaultKind,
    ManifestFault,
    limit_faults,
    pointer_to,
)
from rhubarbhollow_release.resource_kind import ResourceKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from jsonschema import ValidationError
    from jsonschema.protocols import Validator

MAX_DETAIL_CHARACTERS: Final = 80

_KINDS: Final[Mapping[str, FaultKind]] = {
    "type": FaultKind.WRONG_TYPE,
    "additionalProperties": FaultKind.UNKNOWN_FIELD,
    "required": FaultKind.MISSING_FIELD,
    "minimum": FaultKind.OUT_OF_RANGE,
    "maximum": FaultKind.OUT_OF_RANGE,
    "exclusiveMinimum": FaultKind.OUT_OF_RANGE,
    "exclusiveMaximum": FaultKind.OUT_OF_RANGE,
    "maxItems": FaultKind.OUT_OF_RANGE,
    "maxLength": FaultKind.OUT_OF_RANGE,
}


def read_schema() -> dict[str, Any]:
    """Load the published schema of manifests."""
    source = files(__package__).joinpath("manifest.schema.json")
    schema: dict[str, Any] = json.loads(source.read_bytes())
    return schema


def find_schema_faults(value: object) -> tuple[ManifestFault, ...]:
    """Return up to ``MAX_FAULTS`` violations of the schema."""
    errors = _build_validator().iter_errors(cast("Any", value))
    faults = (fault for error in errors for fault in _faults_of(error))
    # One error of the library may correspond to several faults, and
    # several of its errors to the same fault.
    return limit_faults(faults)


@lru_cache(maxsize=1)
def _build_validator() -> Validator:
    # Imported late: the library takes 4 MB of memory, and nodes, which
    # never parse manifests, do not need it.
    from jsonschema import Draft202012Validator, validators  # noqa: PLC0415

    types = Draft202012Validator.TYPE_CHECKER.redefine(
        "integer",
        lambda _, value: type(value) is int,
    )
    strict = validators.extend(  # type: ignore[no-untyped-call]
        Draft202012Validator,
        {"uniqueItems": _check_unique_items},
        type_checker=types,
    )
    validator: Validator = strict(read_schema())
    return validator


def _check_unique_items(
    _validator: Validator,
    is_unique: bool,
    value: object,
    _schema: Mapping[str, Any],
) -> Iterator[ValidationError]:
    """Check that no string occurs twice in a list.

    The check of the library takes quadratic time.
    """
    from jsonschema import ValidationError  # noqa: PLC0415

    if not is_unique or not isinstance(value, list):
        return
    names = [entry for entry in value if isinstance(entry, str)]
    if len(set(names)) != len(names):
        yield ValidationError("has a duplicate entry")


def _faults_of(error: ValidationError) -> Iterable[ManifestFault]:
    path = ""
    for key in error.absolute_path:
        path = pointer_to(path, key)
    instance = cast("Any", error.instance)
    rule = cast("Any", error.validator_value)
    match error.validator:
        case "additionalProperties":
            known = cast("dict[str, Any]", error.schema)["properties"]
            extra = instance.keys() - known.keys()
            for key in sorted(extra):
                yield _fault(
                    error, pointer_to(path, key), "is not a known field"
                )
        case "required":
            for key in rule:
                if key not in instance:
                    yield _fault(
                        error, pointer_to(path, key), "is a required field"
                    )
        case _:
            yield _fault(error, path, _describe(error))


def _is_in_tenant(error: ValidationError) -> bool:
    path = error.absolute_path
    return bool(path) and path[0] == SECTIONS[ResourceKind.TENANT]


def _fault(error: ValidationError, path: str, detail: str) -> ManifestFault:
    kind = _KINDS.get(str(error.validator), FaultKind.BAD_VALUE)
    return ManifestFault(path, kind, detail)


def _describe(error: ValidationError) -> str:
    rule = f"{error.validator} {error.validator_value}"
    if isinstance(error.instance, dict | list) or _is_in_tenant(error):
        # What stands in place of a digest may be the key itself.
        return f"{rule}: {type(error.instance).__name__}"
    return f"{rule}: {ascii(error.instance)[:MAX_DETAIL_CHARACTERS]}"
