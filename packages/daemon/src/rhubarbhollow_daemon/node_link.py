"""A node's connection, as its control instance sees it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from rhubarbhollow_daemon.outbox import Outbox

if TYPE_CHECKING:
    from rhubarbhollow_distribution.feed import NodeFeed
    from rhubarbhollow_distribution.hello import Hello


class NodeLink:
    """Join a node's feed to the outbox of its connection."""

    def __init__(self, hello: Hello, feed: NodeFeed) -> None:
        self._hello = hello
        self._feed = feed
        self._outbox = Outbox()
        self._ended = anyio.Event()
        self.due = 0.0

    @property
    def hello(self) -> Hello:
        """Return the node's first message."""
        return self._hello

    def raise_incarnation(self, incarnation: int) -> None:
        """Know the node under a higher incarnation than it named."""
        self._hello = replace(self._hello, incarnation=incarnation)

    @property
    def feed(self) -> NodeFeed:
        """Return the decisions on what to send next."""
        return self._feed

    @property
    def outbox(self) -> Outbox:
        """Return the queue of messages to the node."""
        return self._outbox

    @property
    def is_ended(self) -> bool:
        """Return whether this connection was asked to end."""
        return self._ended.is_set()

    def end(self) -> None:
        """Ask the connection's tasks to stop."""
        self._ended.set()

    async def wait_ended(self) -> None:
        """Wait until somebody ends this connection."""
        await self._ended.wait()
