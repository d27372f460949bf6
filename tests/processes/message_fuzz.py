"""Random bytes, messages and requests for the ports of a mesh."""

from __future__ import annotations

import dataclasses
import struct
import typing
from enum import IntEnum

from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_daemon.messages import PeerHello
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_wire.connection import PREFACE

SMALL_INTEGERS = (-(1 << 31), -1, 0, 1, 2, 255, (1 << 31) - 1)
INTEGERS = (*SMALL_INTEGERS, -(1 << 63), 1 << 31, (1 << 63) - 1)
FLOATS = (0.0, -1.0, 1e300, float("inf"), float("nan"))
TEXTS = ("", "a", "ilala-c", "no such", "\u00e9\u2028", "x" * 5_000, "\0")
MESSAGE_TYPES = tuple(CODEC._message_types.values())
HEADS = (
    b"GET / HTTP/1.1\r\nhost: h\r\n\r\n",
    b"POST /a/b HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nhello",
    b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n5\r\n",
    b"PUT /v1/releases HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n{}",
    b'POST /v1/announcements HTTP/1.1\r\ncontent-length: 9\r\n\r\n{"name":1',
    b"GET /v1/explain/route?host=%00&path=%ff HTTP/1.1\r\nhost: h\r\n\r\n",
)


def encode_frame(body):
    return struct.pack(">I", len(body)) + body


def mutate(random, data):
    """Flip, cut, repeat or insert bytes."""
    data = bytearray(data)
    for _ in range(random.randint(1, 4)):
        at = random.randrange(len(data) + 1)
        match random.randrange(4):
            case 0 if data:
                data[at % len(data)] ^= 1 << random.randrange(8)
            case 1:
                del data[at : at + random.randint(1, 9)]
            case 2:
                data[at:at] = data[max(0, at - 9) : at]
            case _:
                data[at:at] = random.randbytes(random.randint(1, 9))
    return bytes(data)


def make_value(random, hint, integers):
    """Return a value of a field's type, often an unlikely one."""
    if dataclasses.is_dataclass(hint):
        return make_message(random, hint, integers)
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        count = random.choice((0, 1, 3))
        return tuple(make_value(random, item, integers) for _ in range(count))
    if isinstance(hint, type) and issubclass(hint, IntEnum):
        return random.choice(list(hint))
    choices = {
        bool: (False, True),
        int: integers,
        float: FLOATS,
        str: TEXTS,
        bytes: (b"", b"\0", random.randbytes(40), b"S" + b"\0" * 80),
    }
    return random.choice(choices[hint])


def make_message(random, message_type, integers=INTEGERS):
    hints = typing.get_type_hints(message_type)
    return message_type(
        **{
            field.name: make_value(random, hints[field.name], integers)
            for field in dataclasses.fields(message_type)
        }
    )


def encode_message(random, message_type):
    """Encode a message; some fields hold 32 bits only."""
    try:
        return CODEC.encode(make_message(random, message_type))
    except OverflowError:
        message = make_message(random, message_type, SMALL_INTEGERS)
        return CODEC.encode(message)


def make_hello(random, mesh, number):
    if random.random() < 0.5:
        return PeerHello(mesh, f"fuzz-{number}", 1, random.choice((1, 2, 7)))
    hello = make_message(random, Hello, SMALL_INTEGERS)
    return dataclasses.replace(hello, mesh=mesh, node=f"fuzz-{number}")


def control_stream(random, mesh, number):
    """Return what a faulty process sends to a control port.

    Messages that decode are those of every type in turn.
    """
    if random.random() < 0.1:
        return random.randbytes(random.randint(1, 200))
    parts = [PREFACE]
    if random.random() < 0.9:
        hello = make_hello(random, mesh, number)
        parts.append(encode_frame(CODEC.encode(hello)))
    for step in range(3):
        kind = MESSAGE_TYPES[(3 * number + step) % len(MESSAGE_TYPES)]
        body = encode_message(random, kind)
        if random.random() < 0.4:
            body = mutate(random, body)
        parts.append(encode_frame(body))
    data = b"".join(parts)
    return mutate(random, data) if random.random() < 0.2 else data


def http_stream(random):
    """Return what a faulty client sends to an HTTP port."""
    if random.random() < 0.2:
        return random.randbytes(random.randint(1, 200))
    return mutate(random, random.choice(HEADS)) * random.randint(1, 2)
