"""The control instance's side of a connection to a node."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from rhubarbhollow_daemon.outbox import Outbox

if TYPE_CHECKING:
    from rhubarbhollow_distribution.feed import NodeFeed
    from rhubarbhollow_distribution.hello import Hello


class NodeLink:
    """Hold a node's feed and the outbox of its connection.

    ``due`` is the time at which the feed has its next message, and
    ``rollout_revision`` that of the rollouts sent last.
    """

    def __init__(self, hello: Hello, feed: NodeFeed) -> None:
        self._hello = hello
        self._feed = feed
        self._outbox = Outbox()
        self._ended = anyio.Event()
        self.due = 0.0
        self.rollout_revision = 0

    @property
    def hello(self) -> Hello:
        """Return the node's hello, with its current incarnation."""
        return self._hello

    def raise_incarnation(self, incarnation: int) -> None:
        """Replace the hello's incarnation by a higher one."""
        self._hello = replace(self._hello, incarnation=incarnation)

    @property
    def feed(self) -> NodeFeed:
        """Return the feed, which decides what to send next."""
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
        """Wait until the connection is asked to end."""
        await self._ended.wait()
