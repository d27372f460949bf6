"""Adding control instances to a quorum log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err

from rhubarbhollow_replication.change import AddLearner
from rhubarbhollow_replication.role import Role

if TYPE_CHECKING:
    from rhubarbhollow_daemon.log_group import LogGroup
    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_replication.replica import Replica

INTERVAL_SECONDS: Final = 1.0

_log = structlog.get_logger()


class MembershipKeeper:
    """Add every control instance that is connected as a learner.

    A learner holds the log without a vote and serves its data centre.
    The log itself gives it the vote of a voter that stays away, and
    this adds that voter again, as a learner, once it is gone from the
    configuration. Only the leader acts, one change at a time.
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
        """Look for missing members until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_SECONDS)
            name = self._maybe_missing()
            if name is not None:
                await self._add(name)

    def _maybe_missing(self) -> str | None:
        status = self._replica.status
        if status.role is not Role.LEADER:
            return None
        known = {member.name for member in status.members}
        connected = (
            name for name, link in self._links.by_name.items() if link.is_up
        )
        return next((one for one in connected if one not in known), None)

    async def _add(self, name: str) -> None:
        outcome = await self._replica.change_membership(AddLearner(name))
        if isinstance(outcome, Err):
            _log.info(
                "learner_not_added",
                log=self._group.name.lower(),
                member=name,
                cause=type(outcome.err_value).__name__,
            )
            return
        _log.info(
            "learner_added",
            log=self._group.name.lower(),
            member=name,
        )
