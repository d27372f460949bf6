"""Loading of YAML and JSON documents with limits on size and nesting.

Documents are checked iteratively, so that deep nesting is reported as a
fault instead of exhausting the stack.
"""

from __future__ import annotations

import json
from collections import Counter
from typing import Any, Final

import yaml
from result import Err, Ok, Result

from rhubarbhollow_release.manifest_fault import (
    FaultKind,
    ManifestFault,
    ManifestFaults,
    duplicate_key,
    limit_faults,
    pointer_to,
    single_fault,
)
from rhubarbhollow_release.yaml_builder import (
    MAX_DEPTH,
    MAX_NODES,
    Container,
    YamlBuilder,
)

MAX_DOCUMENT_BYTES: Final = 4 << 20

_LOADER: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def load_document(data: bytes) -> Result[object, ManifestFaults]:
    """Load a document as JSON if it starts with ``{``, else as YAML."""
    if len(data) > MAX_DOCUMENT_BYTES:
        return Err(single_fault("", FaultKind.TOO_LARGE, f"{len(data)} bytes"))
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return _syntax_error("document is not valid UTF-8")
    if text.lstrip().startswith("{"):
        return _load_json(text)
    return _load_yaml(text)


class _JsonObject(dict[str, Any]):
    """Store a JSON object and the keys that occurred more than once."""

    duplicates: tuple[str, ...] = ()


def _build_object(pairs: list[tuple[str, Any]]) -> _JsonObject:
    value = _JsonObject(pairs)
    if len(value) != len(pairs):
        counts = Counter(key for key, _ in pairs)
        value.duplicates = tuple(key for key in value if counts[key] > 1)
    return value


def _load_json(text: str) -> Result[object, ManifestFaults]:
    try:
        value = json.loads(
            text,
            object_pairs_hook=_build_object,
            # NaN and Infinity are not JSON: as strings, they are
            # rejected where the schema expects a number.
            parse_constant=str,
        )
    except RecursionError:
        return Err(
            single_fault("", FaultKind.TOO_DEEP, f"over {MAX_DEPTH} levels")
        )
    except ValueError as error:
        return _syntax_error(str(error))
    return _check_json(value)


def _check_json(root: Container) -> Result[object, ManifestFaults]:
    faults: list[ManifestFault] = []
    pending: list[tuple[str, int, Container]] = [("", 1, root)]
    nodes = 0
    while pending:
        path, depth, value = pending.pop()
        nodes += len(value)
        if depth > MAX_DEPTH:
            return Err(
                single_fault(
                    path, FaultKind.TOO_DEEP, f"over {MAX_DEPTH} levels"
                )
            )
        if nodes > MAX_NODES:
            return Err(
                single_fault(
                    "", FaultKind.TOO_LARGE, f"over {MAX_NODES} values"
                )
            )
        if isinstance(value, _JsonObject):
            faults.extend(duplicate_key(path, key) for key in value.duplicates)
        entries = (
            value.items() if isinstance(value, dict) else enumerate(value)
        )
        pending.extend(
            (pointer_to(path, key), depth + 1, entry)
            for key, entry in entries
            if isinstance(entry, dict | list)
        )
    return Err(ManifestFaults(limit_faults(faults))) if faults else Ok(root)


def _load_yaml(text: str) -> Result[object, ManifestFaults]:
    builder = YamlBuilder()
    try:
        for event in yaml.parse(text, _LOADER):
            builder.add(event)
            if builder.is_over_limit:
                break
    except yaml.YAMLError as error:
        return _syntax_error(str(error))
    if builder.faults:
        return Err(ManifestFaults(limit_faults(builder.faults)))
    return Ok(builder.root)


def _syntax_error(detail: str) -> Err[ManifestFaults]:
    return Err(single_fault("", FaultKind.SYNTAX, ascii(detail)))
