import pytest

from rhubarbhollow_wire.clock import ManualClock


def test_advances_both_times_together():
    clock = ManualClock()
    start = clock.utc()
    clock.advance(2.5)
    assert clock.monotonic() == 2.5
    assert (clock.utc() - start).total_seconds() == 2.5


def test_rejects_negative_steps():
    with pytest.raises(ValueError, match="go back"):
        ManualClock().advance(-1)
