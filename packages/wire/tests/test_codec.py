from dataclasses import dataclass
from enum import IntEnum
from random import Random

import pytest
from result import Err, Ok

from rhubarbhollow_wire.codec import MessageCodec, SchemaMismatchError
from rhubarbhollow_wire.faults import (
    MissingField,
    UndecodableFrame,
    UnexpectedFrame,
)
from rhubarbhollow_wire.gen_py.rhubarbhollow import ttypes


class Kind(IntEnum):
    COMMAND = 1


@dataclass(frozen=True, slots=True)
class Entry:
    index: int
    term: int
    kind: Kind
    payload: bytes


@dataclass(frozen=True, slots=True)
class AppendRequest:
    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int
    acked_round: int
    confirmed_round: int
    store_id: str


@dataclass(frozen=True, slots=True)
class ActiveReport:
    position: int


APPEND = AppendRequest(
    3,
    "ilala-1",
    7,
    2,
    (Entry(8, 3, Kind.COMMAND, b"\x00\xff"), Entry(9, 3, Kind.COMMAND, b"")),
    6,
    11,
    10,
    9,
    "s1",
)


@pytest.mark.parametrize("message", [APPEND, ActiveReport(2**62)])
def test_decodes_what_it_encoded(message):
    codec = MessageCodec([AppendRequest, ActiveReport])
    assert codec.decode(codec.encode(message)) == Ok(message)


def test_rejects_a_message_type_unknown_to_the_receiver():
    data = MessageCodec([AppendRequest]).encode(APPEND)
    fault = MessageCodec([ActiveReport]).decode(data)
    assert fault == Err(UnexpectedFrame(("append_request",)))


def test_reports_a_missing_field():
    codec = MessageCodec([ActiveReport])
    frame = ttypes.Frame(active_report=ttypes.ActiveReport())
    buffer = ttypes.TTransport.TMemoryBuffer()
    frame.write(codec._factory.getProtocol(buffer))
    fault = codec.decode(buffer.getvalue())
    assert fault == Err(MissingField("ActiveReport", "position"))


def test_decodes_random_and_mutated_bytes_without_raising():
    random = Random(7)
    codec = MessageCodec([AppendRequest, ActiveReport])
    valid = codec.encode(APPEND)
    for _ in range(3_000):
        noise = random.randbytes(random.randrange(60))
        mutated = bytearray(valid)
        mutated[random.randrange(len(valid))] = random.randrange(256)
        for data in (noise, bytes(mutated), valid[: random.randrange(40)]):
            outcome = codec.decode(data)
            assert isinstance(outcome, Ok) or isinstance(
                outcome.err_value,
                UndecodableFrame | UnexpectedFrame | MissingField,
            )


def test_rejects_a_class_that_differs_from_its_struct():
    @dataclass(frozen=True)
    class Activate:
        position: int

    with pytest.raises(SchemaMismatchError):
        MessageCodec([Activate])
