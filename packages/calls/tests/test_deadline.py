import pytest
from result import Err

from rhubarbhollow_calls.deadline import (
    Deadline,
    DeadlineFault,
    format_deadline,
    narrow_deadline,
    parse_deadline,
)


def test_budget_shrinks_at_each_hop() -> None:
    now = 1000.1
    deadline = Deadline.after_ms(250, now)
    budgets = [deadline.remaining_ms(now)]
    for _ in range(18):
        header = format_deadline(deadline, now)
        # the next hop has another clock
        now += 12345.678
        deadline = parse_deadline(header, now).unwrap()
        budgets.append(deadline.remaining_ms(now))
    assert budgets == list(range(250, 250 - 19, -1))
    now += 0.05
    assert deadline.remaining_ms(now) == budgets[-1] - 50
    assert not deadline.is_expired(now)
    assert deadline.is_expired(now + 1)
    assert format_deadline(deadline, now + 1) == b"0"
    assert deadline.remaining_seconds(now + 1) == 0


@pytest.mark.parametrize(
    ("value", "fault"),
    [
        (b"", DeadlineFault.EMPTY),
        (b"-1", DeadlineFault.NOT_A_NUMBER),
        (b"1.5", DeadlineFault.NOT_A_NUMBER),
        (b" 1", DeadlineFault.NOT_A_NUMBER),
        (b"\xc2\xb2", DeadlineFault.NOT_A_NUMBER),
        (b"3600001", DeadlineFault.TOO_LARGE),
        (b"0" * 8, DeadlineFault.TOO_LARGE),
    ],
)
def test_parse_faults(value: bytes, fault: DeadlineFault) -> None:
    assert parse_deadline(value, 0) == Err(fault)
    assert narrow_deadline(value, 10, 0) == Err(fault)


def test_callers_can_only_narrow() -> None:
    for header, remaining in ((b"50", 50), (b"500", 100), (None, 100)):
        deadline = narrow_deadline(header, 100, 5.0).unwrap()
        assert deadline.remaining_ms(5.0) == remaining
