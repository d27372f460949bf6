"""Encoding of message data classes as Thrift frames, and decoding."""

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
    UnencodableMessage,
    UnexpectedFrame,
    WireFault,
)
from rhubarbhollow_wire.gen_py.rhubarbhollow import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
MAX_LIST_ITEMS: Final = 1_000_000
# Bounds positions, terms and ids, so that sums of them still fit the 64
# bits of the wire.
MAX_INTEGER: Final = 1 << 62
_WIRE_MAX_INTEGER: Final = 1 << 63

_ENCODE_ERRORS: Final = (
    TException,
    ValueError,
    TypeError,
    OverflowError,
    struct.error,
)
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

# Words reserved by Thrift, to which the schema appends an underscore.
_RESERVED_NAMES: Final = frozenset({"service"})


class AbsentFieldError(Exception):
    """A required field is absent from a received Thrift struct."""

    def __init__(self, message: str, field: str) -> None:
        super().__init__(message, field)
        self.message = message
        self.field = field


class SchemaMismatchError(Exception):
    """A data class and its Thrift struct have different fields."""


class MessageCodec:
    """Convert data classes to frames and back, field by field.

    A data class and its Thrift struct have the same name and the same
    field names, so a new message type needs no code here.
    """

    def __init__(self, types: Iterable[type]) -> None:
        self._factory = TCompactProtocolAcceleratedFactory(
            string_length_limit=MAX_FRAME_BYTES,
            container_length_limit=MAX_LIST_ITEMS,
        )
        self._schemas: dict[type, _MessageSchema] = {}
        self._frame_fields: dict[type, str] = {}
        self._message_types: dict[str, type] = {}
        for message_type in types:
            self._schema_of(message_type)
            frame_field = _frame_field(message_type.__name__)
            self._frame_fields[message_type] = frame_field
            self._message_types[frame_field] = message_type

    def encode(
        self, message: object, max_integer: int = _WIRE_MAX_INTEGER
    ) -> bytes:
        """Encode a message as the bytes of a frame.

        Raise one of several errors if a value cannot be encoded, or
        ``OverflowError`` if an integer is beyond ``max_integer``.
        """
        frame = ttypes.Frame()
        frame_field = self._frame_fields[type(message)]
        setattr(frame, frame_field, self._to_struct(message, max_integer))
        buffer = TMemoryBuffer()
        frame.write(self._factory.getProtocol(buffer))
        return bytes(buffer.getvalue())

    def try_encode(self, message: object) -> Result[bytes, WireFault]:
        """Encode a message that ``decode`` accepts, or return why not.

        A receiver closes the connection at one that it cannot decode.
        """
        try:
            return Ok(self.encode(message, MAX_INTEGER))
        except _ENCODE_ERRORS as error:
            return Err(
                UnencodableMessage(
                    type(message).__name__, type(error).__name__
                )
            )

    def decode(self, data: bytes) -> Result[object, WireFault]:
        """Decode the single message of a frame."""
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
        if len(present) != 1 or present[0] not in self._message_types:
            return Err(UnexpectedFrame(present))
        message_type = self._message_types[present[0]]
        try:
            return Ok(
                self._from_struct(message_type, getattr(frame, present[0]))
            )
        except AbsentFieldError as absent:
            return Err(MissingField(absent.message, absent.field))
        except (ValueError, TypeError) as error:
            return Err(UndecodableFrame(type(error).__name__))

    def _schema_of(self, message_type: type) -> _MessageSchema:
        schema = self._schemas.get(message_type)
        if schema is None:
            schema = _MessageSchema(message_type)
            self._schemas[message_type] = schema
        return schema

    def _to_struct(self, message: object, max_integer: int) -> object:
        schema = self._schema_of(type(message))
        values = {
            wire_name: self._to_wire(getattr(message, name), max_integer)
            for name, wire_name, _ in schema.fields
        }
        return schema.struct(**values)

    def _to_wire(self, value: object, max_integer: int) -> object:
        if isinstance(value, tuple):
            return [self._to_wire(item, max_integer) for item in value]
        if is_dataclass(value):
            return self._to_struct(value, max_integer)
        if isinstance(value, IntEnum):
            return int(value)
        if isinstance(value, int) and abs(value) > max_integer:
            raise OverflowError(f"{value:#x} is beyond {max_integer:#x}")
        return value

    def _from_struct(self, message_type: type, body: object) -> object:
        values = {}
        for name, wire_name, hint in self._schema_of(message_type).fields:
            raw = getattr(body, wire_name)
            if raw is None:
                raise AbsentFieldError(message_type.__name__, name)
            values[name] = self._from_wire(hint, raw)
        return message_type(**values)

    def _from_wire(self, hint: object, raw: object) -> object:
        if isinstance(raw, list):
            item_hint = get_args(hint)[0]
            return tuple(self._from_wire(item_hint, item) for item in raw)
        if is_dataclass(hint) and isinstance(hint, type):
            return self._from_struct(hint, raw)
        if isinstance(raw, int):
            if abs(raw) > MAX_INTEGER:
                raise ValueError(f"{raw} is beyond {MAX_INTEGER}")
            return hint(raw) if _is_enum(hint) else raw
        return raw


class _MessageSchema:
    """Store the Thrift struct class and the fields of a message type.

    A field is its name, its name on the wire and its type hint.
    """

    def __init__(self, message_type: type) -> None:
        hints = get_type_hints(message_type)
        self.struct: Callable[..., object] = getattr(
            ttypes, message_type.__name__
        )
        self.fields = tuple(
            (item.name, _wire_name(item.name), hints[item.name])
            for item in fields(message_type)
        )
        names = {wire_name for _, wire_name, _ in self.fields}
        if names != set(getattr(self.struct, "__slots__", ())):
            raise SchemaMismatchError(
                f"{message_type.__name__} and its Thrift struct have "
                "different fields"
            )


def _is_enum(hint: object) -> TypeGuard[type[IntEnum]]:
    return isinstance(hint, type) and issubclass(hint, IntEnum)


def _wire_name(name: str) -> str:
    return f"{name}_" if name in _RESERVED_NAMES else name


def _frame_field(class_name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", class_name).lower()
