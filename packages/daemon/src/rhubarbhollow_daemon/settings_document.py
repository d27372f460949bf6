"""Loading of a YAML document with detection of duplicate keys."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import yaml
from result import Err, Ok, Result

from rhubarbhollow_daemon.settings_fault import (
    SettingsFault,
    SettingsFaultKind,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(frozen=True, slots=True)
class SettingsDocument:
    """Hold a document's value and the duplicate keys found in it."""

    value: object
    duplicates: tuple[SettingsFault, ...]


def load_document(text: str) -> Result[SettingsDocument, SettingsFault]:
    """Load a YAML document and list every duplicate key in it.

    In the value the last duplicate of a key wins. Aliases are refused.
    """
    try:
        if any(isinstance(event, yaml.AliasEvent) for event in _parse(text)):
            return Err(
                SettingsFault(
                    "",
                    SettingsFaultKind.ALIAS,
                    "expected a document without aliases",
                )
            )
        root = yaml.compose(text, yaml.SafeLoader)
        value = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, TypeError, RecursionError) as error:
        detail = " ".join(str(error).split())
        return Err(SettingsFault("", SettingsFaultKind.SYNTAX, detail))
    return Ok(SettingsDocument(value, tuple(_find_duplicates(root, ""))))


def pointer_to(path: str, key: object) -> str:
    """Append a key or an index to a JSON pointer (RFC 6901)."""
    text = str(key).replace("~", "~0").replace("/", "~1")
    return f"{path}/{text}"


def _parse(text: str) -> Iterator[yaml.Event]:
    events: Iterator[yaml.Event] = yaml.parse(text, yaml.SafeLoader)
    return events


def _find_duplicates(
    node: yaml.Node | None,
    path: str,
) -> Iterator[SettingsFault]:
    match node:
        case yaml.MappingNode():
            yield from _find_mapping_duplicates(node, path)
        case yaml.SequenceNode():
            for index, item in enumerate(node.value):
                yield from _find_duplicates(item, pointer_to(path, index))


def _find_mapping_duplicates(
    node: yaml.MappingNode,
    path: str,
) -> Iterator[SettingsFault]:
    seen: set[str] = set()
    for key_node, value_node in node.value:
        key = str(key_node.value)
        pointer = pointer_to(path, key)
        if key in seen:
            line = key_node.start_mark.line + 1
            yield SettingsFault(
                pointer,
                SettingsFaultKind.DUPLICATE_KEY,
                f"repeated in line {line}",
            )
        seen.add(key)
        yield from _find_duplicates(value_node, pointer)
