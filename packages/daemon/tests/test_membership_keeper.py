from types import SimpleNamespace

import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_daemon import membership_keeper
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.membership_keeper import MembershipKeeper
from rhubarbhollow_replication.change import AddLearner
from rhubarbhollow_replication.fault import ChangeInFlight
from rhubarbhollow_replication.role import Role


class Replica:
    """Take one change a round, refuse some, and stop the test."""

    def __init__(self, role, members, refusals):
        self.role = role
        self.names = list(members)
        self.tried = []
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
        self.tried.append(change)
        if self._refusals:
            self._refusals -= 1
            return Err(ChangeInFlight())
        self.names.append(change.name)
        return Ok(None)


@pytest.mark.parametrize(
    ("role", "members", "refusals", "tried"),
    [
        (Role.LEADER, ("c1",), 0, ("c2", "c3")),
        (Role.LEADER, ("c1", "c3"), 0, ("c2",)),
        (Role.LEADER, ("c1", "c2", "c3", "c9"), 0, ()),
        (Role.LEADER, ("c1",), 2, ("c2", "c2", "c2", "c3")),
        (Role.FOLLOWER, ("c1",), 0, ()),
        (Role.FAILED, (), 0, ()),
    ],
)
def test_a_leader_adds_what_is_missing_one_at_a_time(
    monkeypatch, role, members, refusals, tried
):
    monkeypatch.setattr(membership_keeper, "INTERVAL_SECONDS", 0)
    replica = Replica(role, members, refusals)
    up = {"c1": True, "c2": True, "c3": True, "c4": False}
    links = SimpleNamespace(
        by_name={
            name: SimpleNamespace(is_up=is_up) for name, is_up in up.items()
        }
    )
    keeper = MembershipKeeper(LogGroup.CLAIMS, links, replica)

    async def run():
        with anyio.CancelScope() as replica.scope:
            await keeper.run()

    anyio.run(run)
    assert replica.tried == [AddLearner(name) for name in tried]
