"""Begin and end of an overload, as they are logged."""

from rhubarbhollow_admission.overload_watch import (
    CALM_SECONDS,
    OverloadChange,
    OverloadWatch,
)


def test_an_overload_is_reported_once_at_its_begin_and_end():
    """Guard against a log line for each rejected call."""
    watch = OverloadWatch()
    totals = [0, 0, 4, 9, 9, 12, 12, 12, 12, 12, 12, 13]
    changes = [watch.observe(total, at) for at, total in enumerate(totals)]
    assert changes[2] == OverloadChange(True, 4)
    assert changes[5 + int(CALM_SECONDS)] == OverloadChange(False, 12)
    assert changes[11] == OverloadChange(True, 1)
    assert sum(change is not None for change in changes) == 3
