"""Connecting to the first of several addresses that accepts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from anyio.abc import SocketStream

    from rhubarbhollow_distribution.control_address import ControlAddress

CONNECT_TIMEOUT_SECONDS: Final = 1.0
# Wait for one address before the next is tried beside it. RFC 8305
# recommends 250 ms; a connection between two data centres takes a few,
# and the platform allows 2 s for a change to reach a node whose source
# has been silent for most of them.
STAGGER_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True)
class Connected:
    """An address that accepted, and the connection to it."""

    address: ControlAddress
    stream: SocketStream


async def connect_first(
    addresses: Sequence[ControlAddress],
    note_failed: Callable[[ControlAddress, str], None],
) -> Connected | None:
    """Connect to the first address that accepts, or to none.

    The addresses are tried in order, each once the one before has
    failed or ``STAGGER_SECONDS`` have passed. ``note_failed`` is called
    for each that failed before another one accepted.
    """
    race = _Race(addresses, note_failed)
    await race.run()
    return race.winner


class _Race:
    def __init__(
        self,
        addresses: Sequence[ControlAddress],
        note_failed: Callable[[ControlAddress, str], None],
    ) -> None:
        self._addresses = addresses
        self._note_failed = note_failed
        self.winner: Connected | None = None

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            for address in self._addresses:
                has_failed = anyio.Event()
                group.start_soon(
                    self._connect, address, has_failed, group.cancel_scope
                )
                with anyio.move_on_after(STAGGER_SECONDS):
                    await has_failed.wait()

    async def _connect(
        self,
        address: ControlAddress,
        has_failed: anyio.Event,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(address.host, address.port)
        except (OSError, TimeoutError) as error:
            has_failed.set()
            self._note_failed(address, type(error).__name__)
            return
        if self.winner is None:
            self.winner = Connected(address, stream)
            scope.cancel()
            return
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
