"""Positions and leases of the nodes of one control instance."""

from __future__ import annotations

from small_releases import hello_of

from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_distribution.node_register import NodeRegister
from rhubarbhollow_distribution.position_count import PositionCount
from rhubarbhollow_distribution.staged_report import StagedReport
from rhubarbhollow_wire.clock import ManualClock

LEASE = 4.0


def register_of(clock):
    return NodeRegister("control", "ilala", clock, LEASE)


def hello_at(node, active, staged=0, **changes):
    return hello_of(
        node=node,
        active_position=active,
        staged_position=staged or active,
        **changes,
    )


def advance(clock, register, seconds):
    """Let time pass in steps, as a running process does."""
    for _ in range(int(seconds * 10)):
        clock.advance(0.1)
        register.expired()


def test_reports_are_counted_by_position():
    register = register_of(ManualClock())
    register.admit(hello_at("a", 3, 5))
    register.admit(hello_at("b", 3))
    register.accept("b", StagedReport(4, b""))
    register.accept("b", NodeHeartbeat(3, 5))
    register.accept("a", StagedReport(2, b""))
    register.accept("stranger", ActiveReport(9))
    assert register.all_staged(5)
    assert not register.all_staged(4)
    assert register.summary().staged == (
        PositionCount(4, 1),
        PositionCount(5, 2),
    )
    register.accept("b", ActiveReport(5))
    register.accept("b", ActiveReport(4))
    register.accept("a", EndpointReport(()))
    summary = register.summary()
    assert summary.live_nodes == 2
    assert summary.staged == (PositionCount(5, 1),)
    assert summary.in_force == (PositionCount(3, 1), PositionCount(5, 1))
    assert [summary.count_ready(p) for p in (3, 4, 5, 6)] == [2, 1, 2, 0]
    assert [register.in_force_count(p) for p in (3, 4, 6)] == [2, 1, 0]
    assert [entry.staged_position for entry in register.entries] == [5, 5]


def test_silent_node_is_not_counted():
    clock = ManualClock()
    register = register_of(clock)
    register.admit(hello_at("a", 3))
    register.admit(hello_at("b", 2))
    advance(clock, register, LEASE - 1)
    register.accept("b", NodeHeartbeat(2, 2))
    advance(clock, register, 1.5)
    assert register.expired() == ("a",)
    assert register.summary().live_nodes == 1
    assert not register.all_staged(3)
    register.remove("b", 7)
    register.remove("a", 1)
    assert register.expired() == ()
    assert len(register.entries) == 1


def test_pause_of_the_process_does_not_end_leases():
    clock = ManualClock()
    register = register_of(clock)
    register.admit(hello_at("a", 3))
    clock.advance(60)
    # A summary without the node would let the leader activate a release
    # that the node has not staged.
    assert register.summary().live_nodes == 1
    clock.advance(60)
    assert register.expired() == ()
    advance(clock, register, LEASE + 0.5)
    assert register.expired() == ("a",)


def test_later_incarnation_wins():
    """A late hello or close of an old process must have no effect."""
    register = register_of(ManualClock())
    assert register.admit(hello_at("a", 3, incarnation=5))
    assert not register.admit(hello_at("a", 4, incarnation=4))
    assert register.admit(hello_at("a", 0, incarnation=6))
    register.remove("a", 5)
    assert register.entries[0].active_position == 0


def test_floor_keeps_the_highest_local_position():
    register = register_of(ManualClock())
    register.admit(hello_at("far", 9, data_centre="temeke"))
    assert register.floor == 0
    register.admit(hello_at("a", 3, 4))
    assert register.floor == 4
    register.accept("a", StagedReport(5, b""))
    register.accept("a", ActiveReport(5))
    register.remove("a", 1)
    register.admit(hello_at("a", 0, incarnation=2))
    assert register.floor == 5
