"""Validation of a settings document against its JSON schema."""

from __future__ import annotations

import ipaddress
import json
from functools import cache
from importlib.resources import files
from typing import TYPE_CHECKING, Any, Final

from jsonschema import Draft202012Validator, FormatChecker

from rhubarbhollow_daemon.settings_document import pointer_to
from rhubarbhollow_daemon.settings_fault import (
    SettingsFault,
    SettingsFaultKind,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from jsonschema.exceptions import ValidationError

_KINDS: Final = {
    "type": SettingsFaultKind.WRONG_TYPE,
    "minimum": SettingsFaultKind.OUT_OF_RANGE,
    "maximum": SettingsFaultKind.OUT_OF_RANGE,
    "minItems": SettingsFaultKind.OUT_OF_RANGE,
    "maxItems": SettingsFaultKind.OUT_OF_RANGE,
    "uniqueItems": SettingsFaultKind.DUPLICATE,
}


def find_schema_faults(value: object) -> Iterator[SettingsFault]:
    """Yield all violations, one for each unknown or missing key."""
    for error in _validator().iter_errors(value):
        yield from _convert_error(error)


def _is_address(value: object) -> bool:
    if not isinstance(value, str):
        return True
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


@cache
def _validator() -> Draft202012Validator:
    source = files(__package__).joinpath("settings.schema.json")
    schema: dict[str, Any] = json.loads(source.read_text("utf-8"))
    formats = FormatChecker(formats=())
    formats.checks("ip-address")(_is_address)
    return Draft202012Validator(schema, format_checker=formats)


def _convert_error(error: ValidationError) -> Iterator[SettingsFault]:
    path = ""
    for part in error.absolute_path:
        path = pointer_to(path, part)
    instance: Any = error.instance
    schema: Any = error.schema
    match error.validator:
        case "additionalProperties":
            unknown = instance.keys() - schema["properties"].keys()
            yield from _build_key_faults(
                path, unknown, SettingsFaultKind.UNKNOWN_KEY
            )
        case "required":
            missing = set(schema["required"]) - instance.keys()
            yield from _build_key_faults(
                path, missing, SettingsFaultKind.MISSING_KEY
            )
        case validator:
            kind = _KINDS.get(str(validator), SettingsFaultKind.BAD_VALUE)
            yield SettingsFault(path, kind, error.message)


def _build_key_faults(
    path: str,
    keys: Iterable[object],
    kind: SettingsFaultKind,
) -> Iterator[SettingsFault]:
    return (SettingsFault(pointer_to(path, key), kind, "") for key in keys)
