"""The links to every other control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from rhubarbhollow_daemon.peer_link import PeerLink

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from rhubarbhollow_daemon.messages import PeerHello
    from rhubarbhollow_distribution.control_address import ControlAddress
    from rhubarbhollow_wire.traffic import Traffic


class PeerLinks:
    """Send to other control instances by name."""

    def __init__(
        self,
        hello: PeerHello,
        controls: Iterable[ControlAddress],
        traffic: Traffic,
        random: Random,
    ) -> None:
        self._incarnation = hello.incarnation
        self._links = {
            address.name: PeerLink(
                hello,
                address.name,
                address.host,
                address.port,
                traffic,
                random,
            )
            for address in controls
            if address.name != hello.control
        }

    @property
    def incarnation(self) -> int:
        """Return the start of this process."""
        return self._incarnation

    @property
    def by_name(self) -> Mapping[str, PeerLink]:
        """Return every link by the name of its control instance."""
        return self._links

    @property
    def up_count(self) -> int:
        """Return how many links stand."""
        return sum(link.is_up for link in self._links.values())

    def send(self, name: str, message: object) -> None:
        """Queue a message for one control instance, if it is known."""
        link = self._links.get(name)
        if link is not None:
            link.send(message)

    def broadcast(self, message: object) -> None:
        """Queue a message for every control instance."""
        for link in self._links.values():
            link.send(message)

    async def run(self) -> None:
        """Keep every link up until cancelled."""
        async with anyio.create_task_group() as group:
            for link in self._links.values():
                group.start_soon(link.run)
