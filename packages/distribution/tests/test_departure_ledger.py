"""Guards against recorded departures that a replica loses."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_distribution import departure_ledger
from rhubarbhollow_distribution.departure import Departure
from rhubarbhollow_distribution.departure_command import (
    DepartureCommandFault,
    RecordDepartures,
    decode_departure_command,
    encode_departure_command,
)
from rhubarbhollow_distribution.departure_ledger import DepartureLedger

SMALL = st.integers(0, 3)
DEPARTURES = st.builds(
    Departure, st.sampled_from("ab"), SMALL, SMALL, st.booleans(), SMALL
)
COMMANDS = st.builds(
    RecordDepartures,
    st.sampled_from(["n1", "n2"]),
    st.lists(DEPARTURES, min_size=1, max_size=3).map(tuple),
)


def ledger_of(commands: list[RecordDepartures]) -> DepartureLedger:
    ledger = DepartureLedger()
    for command in commands:
        ledger.apply(command)
    return ledger


@given(st.lists(COMMANDS, max_size=8), st.randoms(use_true_random=False))
def test_repeated_and_reordered_commands_lose_no_departure(
    commands: list[RecordDepartures], rng: object
) -> None:
    """A command whose answer was lost is committed again, any time.

    A withdrawal is kept over a drain, and the highest sequence number
    of a drain over lower ones.
    """
    repeated = commands + commands
    rng.shuffle(repeated)
    ledger = ledger_of(repeated)
    for node in ("n1", "n2"):
        expected: dict[tuple[str, int], Departure] = {}
        for command in commands:
            for each in command.departures if command.node == node else ():
                known = expected.get(each.key, each)
                expected[each.key] = max(
                    known,
                    each,
                    key=lambda one: (
                        one.is_withdrawn,
                        one.sequence,
                        one.noted_at_ms,
                    ),
                )
        found = {each.key: each for each in ledger.of(node)}
        assert found == expected


@given(st.lists(COMMANDS, max_size=8), st.integers(0, 8))
def test_a_snapshot_at_any_point_changes_nothing(
    commands: list[RecordDepartures], point: int
) -> None:
    ledger = DepartureLedger.restore(ledger_of(commands[:point]).snapshot())
    for command in commands[point:]:
        ledger.apply(command)
    assert ledger.snapshot() == ledger_of(commands).snapshot()


def test_only_the_oldest_departures_are_forgotten(monkeypatch) -> None:
    monkeypatch.setattr(departure_ledger, "MAX_RECORDED", 20)
    ledger = DepartureLedger()
    last = Departure("last", 1, 1, is_withdrawn=True, noted_at_ms=1)
    for number in range(100):
        each = Departure(f"i-{number}", 1, 1, is_withdrawn=True, noted_at_ms=1)
        ledger.apply(RecordDepartures("n1", (each,)))
        ledger.apply(RecordDepartures(f"n{number + 2}", (last,)))
    assert len(ledger.of("n1")) <= 16
    assert ledger.of("n1")[-1].name == "i-99"
    assert ledger.of("n101") == (last,)
    assert ledger.of("n2") == ()


@given(COMMANDS)
def test_commands_are_encoded_without_loss(command: RecordDepartures) -> None:
    encoded = encode_departure_command(command)
    assert decode_departure_command(encoded).unwrap() == command


def test_bytes_that_are_no_command_are_refused() -> None:
    good = encode_departure_command(
        RecordDepartures("n1", (Departure("a", 1, 2, True, 3),))
    )
    changes = [
        (good, b"D"),
        (good, b"D[]"),
        (b'"n1"', b'""'),
        (b'"n1"', b'"' + b"n" * 256 + b'"'),
        (b'"n1"', b"1"),
        (b'"node"', b'"mode"'),
        (b'"a"', b'"a b"'),
        (b'"a"', b'""'),
        (b"true", b"1"),
        (b'"sequence":2', b'"sequence":-1'),
        (b'"sequence":2', b'"sequence":2.0'),
        (b'"sequence":2', b'"sequence":9007199254740992'),
        (b',"sequence":2', b""),
        (b"[{", b"[5,{"),
    ]
    for old, new in changes:
        assert old in good
        decoded = decode_departure_command(good.replace(old, new))
        assert isinstance(decoded.unwrap_err(), DepartureCommandFault)
    empty = encode_departure_command(RecordDepartures("n1", ()))
    assert decode_departure_command(empty).is_err()
