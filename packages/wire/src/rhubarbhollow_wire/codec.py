"""Conversion between message data classes and Thrift frames."""

from __future__ import annotations

import re
import struct
from dataclasses import fields, is_dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Final, TypeGuard, get_args, get_type_hints

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from rhubarbhollow_wire.faults import (
    MissingField,
    UndecodableFrame,
    UnexpectedFrame,
    WireFault,
)
from rhubarbhollow_wire.gen_py.rhubarbhollow import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
MAX_LIST_ITEMS: Final = 1_000_000

_DECODE_ERRORS: Final = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    OverflowError,
    AttributeError,
    IndexError,
    MemoryError,
    struct.error,
)

# Thrift reserves these words, so the schema appends an underscore.
_RESERVED_NAMES: Final = frozenset({"service"})


class AbsentFieldError(Exception):
    """A Thrift struct lacks a field of the data class."""

    def __init__(self, message: str, field: str) -> None:
        super().__init__(message, field)
        self.message = message
        self.field = field


class SchemaMismatchError(Exception):
    """A data class and its Thrift struct differ in their fields."""


class MessageCodec:
    """Translate data classes to frames and back, field by field.

    A data class and its Thrift struct share their name and the names
    of their fields, so a new message needs no code here.
    """

    def __init__(self, types: Iterable[type]) -> None:
        self._factory = TCompactProtocolAcceleratedFactory(
            string_length_limit=MAX_FRAME_BYTES,
            container_length_limit=MAX_LIST_ITEMS,
        )
        self._shapes: dict[type, _Shape] = {}
        self._slots: dict[type, str] = {}
        self._types: dict[str, type] = {}
        for kind in types:
            self._shape(kind)
            slot = _frame_field(kind.__name__)
            self._slots[kind] = slot
            self._types[slot] = kind

    def encode(self, message: object) -> bytes:
        """Return the bytes of the frame that carries ``message``."""
        frame = ttypes.Frame()
        slot = self._slots[type(message)]
        setattr(frame, slot, self._to_struct(message))
        buffer = TMemoryBuffer()
        frame.write(self._factory.getProtocol(buffer))
        return bytes(buffer.getvalue())

    def decode(self, data: bytes) -> Result[object, WireFault]:
        """Return the message in a frame, or the reason for none."""
        frame = ttypes.Frame()
        try:
            frame.read(self._factory.getProtocol(TMemoryBuffer(data)))
        except _DECODE_ERRORS as error:
            return Err(UndecodableFrame(type(error).__name__))
        present = tuple(
            name
            for name in ttypes.Frame.__slots__
            if getattr(frame, name) is not None
        )
        if len(present) != 1 or present[0] not in self._types:
            return Err(UnexpectedFrame(present))
        kind = self._types[present[0]]
        try:
            return Ok(self._from_struct(kind, getattr(frame, present[0])))
        except AbsentFieldError as absent:
            return Err(MissingField(absent.message, absent.field))
        except (ValueError, TypeError) as error:
            return Err(UndecodableFrame(type(error).__name__))

    def _shape(self, kind: type) -> _Shape:
        shape = self._shapes.get(kind)
        if shape is None:
            shape = _Shape(kind)
            self._shapes[kind] = shape
        return shape

    def _to_struct(self, message: object) -> object:
        shape = self._shape(type(message))
        values = {
            wire_name: self._to_wire(getattr(message, name))
            for name, wire_name, _ in shape.fields
        }
        return shape.struct(**values)

    def _to_wire(self, value: object) -> object:
        if isinstance(value, tuple):
            return [self._to_wire(item) for item in value]
        if is_dataclass(value):
            return self._to_struct(value)
        if isinstance(value, IntEnum):
            return int(value)
        return value

    def _from_struct(self, kind: type, body: object) -> object:
        values = {}
        for name, wire_name, hint in self._shape(kind).fields:
            raw = getattr(body, wire_name)
            if raw is None:
                raise AbsentFieldError(kind.__name__, name)
            values[name] = self._from_wire(hint, raw)
        return kind(**values)

    def _from_wire(self, hint: object, raw: object) -> object:
        if isinstance(raw, list):
            item = get_args(hint)[0]
            return tuple(self._from_wire(item, one) for one in raw)
        if is_dataclass(hint) and isinstance(hint, type):
            return self._from_struct(hint, raw)
        if isinstance(raw, int) and _is_enum(hint):
            return hint(raw)
        return raw


class _Shape:
    """Hold the struct class and the field names of one message."""

    def __init__(self, kind: type) -> None:
        hints = get_type_hints(kind)
        self.struct: Callable[..., object] = getattr(ttypes, kind.__name__)
        self.fields = tuple(
            (item.name, _wire_name(item.name), hints[item.name])
            for item in fields(kind)
        )
        names = {wire_name for _, wire_name, _ in self.fields}
        if names != set(getattr(self.struct, "__slots__", ())):
            raise SchemaMismatchError(kind.__name__)


def _is_enum(hint: object) -> TypeGuard[type[IntEnum]]:
    return isinstance(hint, type) and issubclass(hint, IntEnum)


def _wire_name(name: str) -> str:
    return f"{name}_" if name in _RESERVED_NAMES else name


def _frame_field(class_name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", class_name).lower()
