"""Loading of YAML and JSON documents under bounds.

Nothing here recurses, so that nesting is refused and not overflowed.
YAML scalars follow the YAML 1.2 core schema: ``no`` and ``1:30`` are
strings, as they are for most who write them.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import yaml
from result import Err, Ok, Result

from rhubarbhollow_release.manifest_fault import (
    FaultKind,
    ManifestFault,
    ManifestFaults,
    fault_of,
)

MAX_DOCUMENT_BYTES: Final = 4 << 20
MAX_DEPTH: Final = 8
MAX_NODES: Final = 200_000

Container: TypeAlias = dict[str, Any] | list[Any]

_LOADER: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_INTEGER: Final = re.compile(r"[-+]?[0-9]{1,40}")
_FLOAT: Final = re.compile(
    r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?",
)
_CONSTANTS: Final = {
    **dict.fromkeys(("", "~", "null", "Null", "NULL"), None),
    **dict.fromkeys(("true", "True", "TRUE"), True),
    **dict.fromkeys(("false", "False", "FALSE"), False),
}


def load_document(data: bytes) -> Result[object, ManifestFaults]:
    """Load a document; one that starts with ``{`` is JSON."""
    if len(data) > MAX_DOCUMENT_BYTES:
        return Err(fault_of("", FaultKind.TOO_LARGE, f"{len(data)} bytes"))
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return _syntax_error("not UTF-8")
    if text.lstrip().startswith("{"):
        return _load_json(text)
    return _load_yaml(text)


def pointer_to(path: str, key: str | int) -> str:
    """Extend a JSON pointer, in ASCII, by a key or an index."""
    text = str(key).encode("ascii", "backslashreplace").decode()
    return f"{path}/{text.replace('~', '~0').replace('/', '~1')}"


class _Pairs(dict[str, Any]):
    """Remember which keys of a JSON object came twice."""

    duplicates: tuple[str, ...] = ()


def _pairs_of(pairs: list[tuple[str, Any]]) -> _Pairs:
    value = _Pairs(pairs)
    if len(value) != len(pairs):
        keys = [key for key, _ in pairs]
        value.duplicates = tuple(key for key in value if keys.count(key) > 1)
    return value


def _load_json(text: str) -> Result[object, ManifestFaults]:
    try:
        value = json.loads(
            text,
            object_pairs_hook=_pairs_of,
            # NaN and Infinity are not JSON; strings fit no number
            parse_constant=str,
        )
    except RecursionError:
        return Err(fault_of("", FaultKind.TOO_DEEP, f"over {MAX_DEPTH}"))
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
            return Err(fault_of(path, FaultKind.TOO_DEEP, f"over {MAX_DEPTH}"))
        if nodes > MAX_NODES:
            return Err(fault_of("", FaultKind.TOO_LARGE, f"over {MAX_NODES}"))
        if isinstance(value, _Pairs):
            faults.extend(_duplicate(path, key) for key in value.duplicates)
        entries = (
            value.items() if isinstance(value, dict) else enumerate(value)
        )
        pending.extend(
            (pointer_to(path, key), depth + 1, entry)
            for key, entry in entries
            if isinstance(entry, dict | list)
        )
    return Err(ManifestFaults(tuple(faults))) if faults else Ok(root)


def _load_yaml(text: str) -> Result[object, ManifestFaults]:
    builder = _YamlBuilder()
    try:
        for event in yaml.parse(text, _LOADER):
            builder.add(event)
            if builder.is_over_bounds:
                break
    except yaml.YAMLError as error:
        return _syntax_error(str(error))
    if builder.faults:
        return Err(ManifestFaults(tuple(builder.faults)))
    return Ok(builder.root)


@dataclass(slots=True)
class _Frame:
    """Hold a container that is being filled."""

    path: str
    container: Container
    key: str | None = None

    def next_path(self) -> str:
        """Return the path of the entry that comes next."""
        if isinstance(self.container, list):
            return pointer_to(self.path, len(self.container))
        return self.path if self.key is None else self._key_path(self.key)

    def _key_path(self, key: str) -> str:
        return pointer_to(self.path, key)


class _YamlBuilder:
    """Build a value from parser events and list the faults met."""

    def __init__(self) -> None:
        self.root: object = None
        self.faults: list[ManifestFault] = []
        self.is_over_bounds = False
        self._documents = 0
        self._nodes = 0
        self._frames: list[_Frame] = []

    def add(self, event: yaml.Event) -> None:
        """Take the next event."""
        match event:
            case yaml.DocumentStartEvent():
                self._start_document()
            case yaml.AliasEvent():
                self._fault(FaultKind.ALIAS, str(event.anchor))
                self._add_scalar("")
            case yaml.ScalarEvent():
                self._check_properties(event)
                self._add_scalar(_resolve(event))
            case yaml.MappingStartEvent():
                self._check_properties(event)
                self._open({})
            case yaml.SequenceStartEvent():
                self._check_properties(event)
                self._open([])
            case yaml.MappingEndEvent() | yaml.SequenceEndEvent():
                self._frames.pop()

    def _start_document(self) -> None:
        self._documents += 1
        if self._documents > 1:
            self._stop(FaultKind.SYNTAX, "more than one document")

    def _check_properties(self, event: yaml.NodeEvent) -> None:
        if event.anchor is not None:
            self._fault(FaultKind.ALIAS, event.anchor)
        tag = getattr(event, "tag", None)
        if tag is not None:
            self._fault(FaultKind.TAG, tag)

    def _open(self, container: Container) -> None:
        path = self._path()
        if not self._add_value(container):
            # a container as a key: its entries go nowhere
            self._fault(FaultKind.WRONG_TYPE, "key is not a string")
        self._frames.append(_Frame(path, container))
        if len(self._frames) > MAX_DEPTH:
            self._stop(FaultKind.TOO_DEEP, f"over {MAX_DEPTH}")

    def _add_scalar(self, value: object) -> None:
        frame = self._frames[-1] if self._frames else None
        if frame and isinstance(frame.container, dict) and frame.key is None:
            self._add_key(frame, frame.container, str(value))
            return
        self._add_value(value)

    def _add_key(
        self,
        frame: _Frame,
        container: dict[str, Any],
        key: str,
    ) -> None:
        if key in container:
            self.faults.append(_duplicate(frame.path, key))
        frame.key = key

    def _add_value(self, value: object) -> bool:
        """Put a value in its place; say whether there was one."""
        self._nodes += 1
        if self._nodes > MAX_NODES:
            self._stop(FaultKind.TOO_LARGE, f"over {MAX_NODES}")
        if not self._frames:
            self.root = value
            return True
        frame = self._frames[-1]
        if isinstance(frame.container, list):
            frame.container.append(value)
            return True
        if frame.key is None:
            frame.key = ""
            return False
        frame.container[frame.key] = value
        frame.key = None
        return True

    def _path(self) -> str:
        return self._frames[-1].next_path() if self._frames else ""

    def _fault(self, kind: FaultKind, detail: str) -> None:
        self.faults.append(ManifestFault(self._path(), kind, ascii(detail)))

    def _stop(self, kind: FaultKind, detail: str) -> None:
        self._fault(kind, detail)
        self.is_over_bounds = True


def _resolve(event: yaml.ScalarEvent) -> object:
    text: str = event.value
    if event.style:
        return text
    if text in _CONSTANTS:
        return _CONSTANTS[text]
    if _INTEGER.fullmatch(text):
        return int(text)
    if _FLOAT.fullmatch(text):
        return float(text)
    return text


def _duplicate(path: str, key: str) -> ManifestFault:
    pointer = pointer_to(path, key)
    return ManifestFault(pointer, FaultKind.DUPLICATE_KEY, ascii(key))


def _syntax_error(detail: str) -> Err[ManifestFaults]:
    return Err(fault_of("", FaultKind.SYNTAX, ascii(detail)))
