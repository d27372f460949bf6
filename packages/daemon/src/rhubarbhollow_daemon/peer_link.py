"""The outgoing connection to another control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err

from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_daemon.outbox import Outbox
from rhubarbhollow_daemon.socket_options import detect_lost_peer
from rhubarbhollow_wire.connection import FrameConnection

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from rhubarbhollow_daemon.messages import PeerHello
    from rhubarbhollow_distribution.control_address import ControlAddress
    from rhubarbhollow_wire.traffic import Traffic

CONNECT_TIMEOUT_SECONDS: Final = 1.0
RECONNECT_MIN_SECONDS: Final = 0.05
RECONNECT_MAX_SECONDS: Final = 1.0

_log = structlog.get_logger()


class PeerLink:
    """Send messages to one control instance, reconnecting as needed.

    Messages flow one way: the peer answers on its own link. Messages
    still queued from an earlier connection are dropped on reconnecting,
    since every protocol above retransmits, and old messages only delay
    the new ones. ``initial_messages`` builds what follows the hello on
    each new connection.
    """

    def __init__(
        self,
        hello: PeerHello,
        address: ControlAddress,
        traffic: Traffic,
        random: Random,
        initial_messages: Callable[[], tuple[object, ...]] = tuple,
    ) -> None:
        self._initial_messages = initial_messages
        self._hello = hello
        self._address = address
        self._traffic = traffic
        self._random = random
        self._outbox = Outbox()
        self._is_up = False
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return how many connections have been established so far."""
        return self._generation

    @property
    def is_up(self) -> bool:
        """Return whether the connection is established."""
        return self._is_up

    def send(self, message: object) -> None:
        """Queue a message, or drop it while there is no connection."""
        if self._is_up:
            self._outbox.put(message)

    async def run(self) -> None:
        """Keep the connection up until cancelled."""
        failures = 0
        while True:
            if await self._run_once():
                failures = 0
            failures += 1
            max_delay_seconds = min(
                RECONNECT_MAX_SECONDS,
                RECONNECT_MIN_SECONDS * 2 ** min(failures, 10),
            )
            await anyio.sleep(self._random.uniform(0, max_delay_seconds))

    async def _run_once(self) -> bool:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(
                    self._address.host, self._address.port
                )
        except (OSError, TimeoutError):
            return False
        detect_lost_peer(stream)
        connection = FrameConnection(
            stream,
            CODEC,
            self._traffic,
            peer_data_centre=self._address.data_centre,
        )
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_SECONDS):
                opened = await connection.open()
                if isinstance(opened, Err):
                    return False
                self._outbox.clear()
                self._is_up = True
                self._generation += 1
            if not self._is_up:
                return False
            _log.info("peer_link_up", peer=self._address.name)
            await self._serve(connection)
            return True
        finally:
            if self._is_up:
                _log.info("peer_link_down", peer=self._address.name)
            self._is_up = False
            await connection.close()

    async def _serve(self, connection: FrameConnection) -> None:
        sent = await connection.send(self._hello, *self._initial_messages())
        if isinstance(sent, Err):
            return
        async with anyio.create_task_group() as group:

            async def wait_closed() -> None:
                await connection.receive()
                group.cancel_scope.cancel()

            group.start_soon(wait_closed)
            await self._outbox.pump(connection)
            group.cancel_scope.cancel()
