"""The outgoing links to every other control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.peer_link import PeerLink
from rhubarbhollow_distribution.local_source import LocalSource

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from anyio.abc import TaskGroup

    from rhubarbhollow_daemon.messages import PeerHello
    from rhubarbhollow_distribution.control_address import ControlAddress
    from rhubarbhollow_distribution.control_directory import ControlDirectory
    from rhubarbhollow_wire.traffic import Traffic


class PeerLinks:
    """Send messages to other control instances by name.

    A link is opened to each instance that is added to the directory.
    The links of the release log send the directory to the peer on each
    new connection and after each change.
    """

    def __init__(
        self,
        hello: PeerHello,
        directory: ControlDirectory,
        traffic: Traffic,
        random: Random,
    ) -> None:
        self._hello = hello
        self._directory = directory
        self._traffic = traffic
        self._random = random
        self._links: dict[str, PeerLink] = {}
        self._group: TaskGroup | None = None
        self._sync_with_directory()
        directory.watch(self._sync_with_directory)

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this process."""
        return self._hello.incarnation

    @property
    def by_name(self) -> Mapping[str, PeerLink]:
        """Return every link, keyed by its control instance's name."""
        return self._links

    @property
    def up_count(self) -> int:
        """Return how many links are connected."""
        return sum(link.is_up for link in self._links.values())

    def local_source(self, data_centre: str) -> LocalSource:
        """Return what is known of the instances in a data centre."""
        names = [
            address.name
            for address in self._directory.addresses
            if address.data_centre == data_centre
        ]
        if not names:
            return LocalSource.NONE
        links = (self._links.get(name) for name in names)
        if any(link is not None and link.is_up for link in links):
            return LocalSource.REACHABLE
        return LocalSource.KNOWN

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
            self._group = group
            for link in self._links.values():
                group.start_soon(link.run)
            await anyio.sleep_forever()

    def _sync_with_directory(self) -> None:
        for address in self._directory.addresses:
            if address.name == self._hello.control:
                continue
            if address.name not in self._links:
                self._add_link(address)
        if self._hello.group == LogGroup.RELEASES:
            self.broadcast(self._directory.message)

    def _add_link(self, address: ControlAddress) -> None:
        link = PeerLink(
            self._hello,
            address,
            self._traffic,
            self._random,
            self._build_initial_messages,
        )
        self._links[address.name] = link
        if self._group is not None:
            self._group.start_soon(link.run)

    def _build_initial_messages(self) -> tuple[object, ...]:
        if self._hello.group == LogGroup.RELEASES:
            return (self._directory.message,)
        return ()
