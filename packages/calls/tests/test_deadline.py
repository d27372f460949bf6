from rhubarbhollow_calls.deadline import Deadline, format_deadline


def test_budget_shrinks_at_each_hop() -> None:
    """Check that hops subtract a margin and compare no clocks."""
    now = 1000.1
    deadline = Deadline.after_ms(250, now)
    budgets = [deadline.remaining_ms(now)]
    for _ in range(18):
        header = format_deadline(deadline, now)
        # The next hop has an unrelated monotonic clock.
        now += 12345.678
        deadline = Deadline.after_ms(int(header), now)
        budgets.append(deadline.remaining_ms(now))
    assert budgets == list(range(250, 250 - 19, -1))
    now += 0.05
    assert deadline.remaining_ms(now) == budgets[-1] - 50
    assert deadline.remaining_ms(now + 1) == 0
    assert format_deadline(deadline, now + 1) == b"0"
