"""Addition of control instances to a quorum log's members."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err

from rhubarbhollow_replication.membership_change import AddLearner
from rhubarbhollow_replication.role import Role

if TYPE_CHECKING:
    from rhubarbhollow_daemon.log_group import LogGroup
    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_replication.replica import Replica

# An instance without the log serves its data centre no release, so it
# is added soon after it has connected.
INTERVAL_SECONDS: Final = 0.25

_log = structlog.get_logger()


class MembershipManager:
    """Add every connected control instance as a learner.

    A learner replicates the log without a vote and serves its data
    centre. The log itself promotes a learner in place of a voter that
    stays unreachable; once that voter has left the configuration and
    is connected again, it is added as a learner. Only the leader acts,
    one change at a time.
    """

    def __init__(
        self,
        group: LogGroup,
        links: PeerLinks,
        replica: Replica,
    ) -> None:
        self._group = group
        self._links = links
        self._replica = replica

    async def run(self) -> None:
        """Add missing members periodically until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_SECONDS)
            await self._add_missing()

    async def _add_missing(self) -> None:
        """Add members until none is missing or one is not added."""
        while (name := self._find_missing_member()) is not None:
            if not await self._add(name):
                return

    def _find_missing_member(self) -> str | None:
        status = self._replica.status
        if status.role is not Role.LEADER:
            return None
        members = {member.name for member in status.members}
        connected = (
            name for name, link in self._links.by_name.items() if link.is_up
        )
        return next((name for name in connected if name not in members), None)

    async def _add(self, name: str) -> bool:
        outcome = await self._replica.change_membership(AddLearner(name))
        if isinstance(outcome, Err):
            _log.info(
                "learner_not_added",
                log=self._group.name.lower(),
                member=name,
                cause=type(outcome.err_value).__name__,
            )
            return False
        _log.info(
            "learner_added",
            log=self._group.name.lower(),
            member=name,
        )
        return True
