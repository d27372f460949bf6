import pytest

from rhubarbhollow_placement.work_speed import (
    MAX_FACTOR,
    SPEED_HOLD_SECONDS,
    WorkSpeed,
    parse_work_percent,
)


@pytest.mark.parametrize(
    ("value", "percent"),
    [
        (b"3,0,8,250", 250),
        (b"3, 0, 8, 100 ", 100),
        (b"3,0,8", 0),
        (b"", 0),
        (b"3,0,8,-5", 0),
        (b"3,0,8,2.5", 0),
        (b"3,0,8,9999999", 0),
        (b"3,0,8,100,7", 0),
    ],
)
def test_a_load_that_cannot_be_read_is_ignored(value, percent):
    assert parse_work_percent(value) == percent


def test_a_value_counts_less_as_it_ages():
    """Guard against avoiding a machine that was slow a second ago."""
    speed = WorkSpeed()
    assert speed.factor(0.0) == 1
    speed.observe(250, 10.0)
    assert speed.factor(10.0) == 2.5
    assert 1 < speed.factor(10.0 + SPEED_HOLD_SECONDS / 2) < 2.5
    assert speed.factor(10.0 + SPEED_HOLD_SECONDS) == 1


def test_a_single_odd_value_has_a_bounded_effect():
    speed = WorkSpeed()
    speed.observe(9_000, 0.0)
    assert speed.factor(0.0) == MAX_FACTOR
