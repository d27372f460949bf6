"""Construction of values from YAML parser events, with limits.

Scalars follow the YAML 1.2 core schema: ``no`` and ``1:30`` are
strings, as most authors of manifests expect.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import yaml

from rhubarbhollow_release.manifest_fault import (
    FaultKind,
    ManifestFault,
    duplicate_key,
    pointer_to,
)

MAX_DEPTH: Final = 8
MAX_NODES: Final = 200_000

Container: TypeAlias = dict[str, Any] | list[Any]

_INTEGER: Final = re.compile(r"[-+]?[0-9]{1,40}")
_FLOAT: Final = re.compile(
    r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?",
)
_CONSTANTS: Final = {
    **dict.fromkeys(("", "~", "null", "Null", "NULL"), None),
    **dict.fromkeys(("true", "True", "TRUE"), True),
    **dict.fromkeys(("false", "False", "FALSE"), False),
}


@dataclass(slots=True)
class _Frame:
    """Track a container that is under construction.

    ``key`` is the mapping key whose value comes next, if any.
    """

    path: str
    container: Container
    key: str | None = None

    def is_at_key(self) -> bool:
        """Return whether the next event is a key of a mapping."""
        return isinstance(self.container, dict) and self.key is None

    def next_path(self) -> str:
        """Return the path of the next entry."""
        if isinstance(self.container, list):
            return pointer_to(self.path, len(self.container))
        return (
            self.path if self.key is None else pointer_to(self.path, self.key)
        )

    def add(self, value: object) -> None:
        """Append a value to a list, or set it for the pending key."""
        if isinstance(self.container, list):
            self.container.append(value)
            return
        if self.key is not None:
            self.container[self.key] = value
        self.key = None


class YamlBuilder:
    """Build a value from parser events and collect its faults.

    ``is_over_limit`` is set when a limit is exceeded; the caller must
    then stop parsing, and ``faults`` holds only the fault that says so.
    """

    def __init__(self) -> None:
        self.root: object = None
        self.faults: list[ManifestFault] = []
        self.is_over_limit = False
        self._documents = 0
        self._nodes = 0
        self._frames: list[_Frame] = []

    def add(self, event: yaml.Event) -> None:
        """Process the next event."""
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
            self._abort("", FaultKind.SYNTAX, "more than one document")

    def _check_properties(self, event: yaml.NodeEvent) -> None:
        if event.anchor is not None:
            self._fault(FaultKind.ALIAS, event.anchor)
        tag = getattr(event, "tag", None)
        if tag is not None:
            self._fault(FaultKind.TAG, tag)

    def _open(self, container: Container) -> None:
        path = self._path()
        frame = self._frames[-1] if self._frames else None
        if frame and frame.is_at_key():
            # A container as a key is a fault; its entries are not
            # attached to the value.
            self._fault(FaultKind.WRONG_TYPE, "key is not a string")
            frame.key = ""
        else:
            self._add_value(container)
        self._frames.append(_Frame(path, container))
        if len(self._frames) > MAX_DEPTH:
            self._abort(path, FaultKind.TOO_DEEP, f"over {MAX_DEPTH} levels")

    def _add_scalar(self, value: object) -> None:
        frame = self._frames[-1] if self._frames else None
        if frame and frame.is_at_key():
            self._add_key(frame, str(value))
            return
        self._add_value(value)

    def _add_key(self, frame: _Frame, key: str) -> None:
        if key in frame.container:
            self.faults.append(duplicate_key(frame.path, key))
        frame.key = key

    def _add_value(self, value: object) -> None:
        self._nodes += 1
        if self._nodes > MAX_NODES:
            self._abort("", FaultKind.TOO_LARGE, f"over {MAX_NODES} values")
        if self._frames:
            self._frames[-1].add(value)
        else:
            self.root = value

    def _path(self) -> str:
        return self._frames[-1].next_path() if self._frames else ""

    def _fault(self, kind: FaultKind, detail: str) -> None:
        self.faults.append(ManifestFault(self._path(), kind, ascii(detail)))

    def _abort(self, path: str, kind: FaultKind, detail: str) -> None:
        # The list of earlier faults may be long and does not help here.
        self.faults = [ManifestFault(path, kind, detail)]
        self.is_over_limit = True


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
