from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest
from result import Err, Ok

from rhubarbhollow_daemon import membership_manager
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.membership_manager import MembershipManager
from rhubarbhollow_replication.fault import ChangeInFlight
from rhubarbhollow_replication.membership_change import AddLearner
from rhubarbhollow_replication.role import Role


class Replica:
    """Accept changes after some refusals; end the test in round 7."""

    def __init__(self, role, members, refusals):
        self.role = role
        self.names = list(members)
        self.proposed = []
        self._refusals = refusals
        self._rounds = 0

    @property
    def status(self):
        self._rounds += 1
        if self._rounds > 6:
            self.scope.cancel()
        members = [SimpleNamespace(name=name) for name in self.names]
        return SimpleNamespace(role=self.role, members=members)

    async def change_membership(self, change):
        self.proposed.append(change)
        if self._refusals:
            self._refusals -= 1
            return Err(ChangeInFlight())
        self.names.append(change.name)
        return Ok(None)


@pytest.mark.parametrize(
    ("role", "members", "refusals", "proposed"),
    [
        (Role.LEADER, ("c1",), 0, ("c2", "c3")),
        (Role.LEADER, ("c1", "c3"), 0, ("c2",)),
        (Role.LEADER, ("c1", "c2", "c3", "c9"), 0, ()),
        (Role.LEADER, ("c1",), 2, ("c2", "c2", "c2", "c3")),
        (Role.FOLLOWER, ("c1",), 0, ()),
        (Role.FAILED, (), 0, ()),
    ],
)
def test_leader_adds_missing_members_one_at_a_time(
    monkeypatch, role, members, refusals, proposed
):
    monkeypatch.setattr(membership_manager, "INTERVAL_SECONDS", 0)
    replica = Replica(role, members, refusals)
    up = {"c1": True, "c2": True, "c3": True, "c4": False}
    links = SimpleNamespace(
        by_name={
            name: SimpleNamespace(is_up=is_up) for name, is_up in up.items()
        }
    )
    manager = MembershipManager(LogGroup.CLAIMS, links, replica)

    async def run():
        with anyio.CancelScope() as replica.scope:
            await manager.run()

    anyio.run(run)
    assert replica.proposed == [AddLearner(name) for name in proposed]


def test_all_missing_members_are_added_in_one_round(monkeypatch):
    """Guard against a pause for each member.

    With ten control instances those of some data centres had no log for
    seven seconds after the first start, and their nodes went elsewhere.
    """
    replica = Replica(Role.LEADER, ("c1",), 0)
    names = ("c1", *(f"c{number}" for number in range(2, 6)))
    links = SimpleNamespace(
        by_name={name: SimpleNamespace(is_up=True) for name in names}
    )
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)
        if len(pauses) > 1:
            replica.scope.cancel()
        await anyio.lowlevel.checkpoint()

    monkeypatch.setattr(membership_manager.anyio, "sleep", sleep)
    manager = MembershipManager(LogGroup.RELEASES, links, replica)

    async def run():
        with anyio.CancelScope() as replica.scope:
            await manager.run()

    anyio.run(run)
    assert replica.proposed == [AddLearner(name) for name in names[1:]]
