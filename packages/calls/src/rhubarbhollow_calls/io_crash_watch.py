"""Detection of upstream crashes after a broken connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rhubarbhollow_calls.io_local_upstream import LocalUpstream

MAX_PROBES: Final = 3
# A probe connection that stays open this long shows that the upstream
# still runs.
MIN_OPEN_SECONDS: Final = 0.03


@dataclass(frozen=True, slots=True)
class BrokenCall:
    """A call whose connection broke before the response ended."""

    fingerprint: bytes
    epoch: int


class CrashCheckCallback(Protocol):
    """Receive the result of a crash check."""

    def __call__(self, calls: Sequence[BrokenCall], is_crashed: bool) -> None:
        """Handle whether the upstream crashed during ``calls``."""
        ...


class RunningCheckCallback(Protocol):
    """Receive the result of a check whether the upstream runs."""

    def __call__(self, *, is_running: bool) -> None:
        """Handle whether the upstream still runs."""
        ...


class CrashWatch:
    """Probe the upstream when a connection ends during a call.

    If nothing listens on its port any more, the upstream has crashed,
    and all calls that were in flight are suspects.  Until the probe has
    ended, the broken calls count as in flight.

    The kernel closes the connections of a process that dies in the same
    way as the process itself would, so an end of a connection that ends
    a response is probed too.
    """

    def __init__(
        self, upstream: LocalUpstream, connect_timeout_seconds: float
    ) -> None:
        self._upstream = upstream
        self._connect_timeout_seconds = connect_timeout_seconds
        self._broken: list[BrokenCall] = []
        self._probe: asyncio.Task[None] | None = None
        self._unconfirmed: list[RunningCheckCallback] = []
        self._confirmation: asyncio.Task[None] | None = None

    def note_broken(
        self, call: BrokenCall, callback: CrashCheckCallback
    ) -> None:
        """Add a broken call, and start a probe if none is running.

        The callback of the call that started the probe gets the result
        for all broken calls; the other callbacks are not used.
        """
        self._broken.append(call)
        if self._probe is None:
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._check(callback))

    def confirm_running(self, callback: RunningCheckCallback) -> None:
        """Call back whether the upstream runs, by a new probe."""
        self._unconfirmed.append(callback)
        if self._confirmation is None:
            loop = asyncio.get_running_loop()
            self._confirmation = loop.create_task(self._confirm())

    def close(self) -> None:
        """Cancel a running check, without a result for its calls.

        An upstream whose running is unconfirmed counts as crashed.
        """
        if self._probe is not None:
            self._probe.cancel()
        if self._confirmation is not None:
            self._confirmation.cancel()
        unconfirmed, self._unconfirmed = self._unconfirmed, []
        for callback in unconfirmed:
            callback(is_running=False)

    async def _confirm(self) -> None:
        while self._unconfirmed:
            count = len(self._unconfirmed)
            is_running = await self._is_listening()
            confirmed = self._unconfirmed[:count]
            del self._unconfirmed[:count]
            for callback in confirmed:
                callback(is_running=is_running)
        self._confirmation = None

    async def _check(self, callback: CrashCheckCallback) -> None:
        is_listening = await self._is_listening()
        self._probe = None
        broken, self._broken = self._broken, []
        callback(broken, is_crashed=not is_listening)

    async def _is_listening(self) -> bool:
        for _ in range(MAX_PROBES):
            verdict = await self._probe_once()
            if verdict is not None:
                return verdict
        return False

    async def _probe_once(self) -> bool | None:
        """Return whether the upstream listens, or ``None`` if unclear.

        A process that is ending closes its sockets one by one, so a new
        connection may be accepted and then closed immediately.
        """
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                reader, writer = await asyncio.open_connection(
                    self._upstream.host, self._upstream.port
                )
        except TimeoutError:
            return True
        except OSError:
            return False
        try:
            async with asyncio.timeout(MIN_OPEN_SECONDS):
                await reader.read(1)
        except TimeoutError:
            return True
        except OSError:
            return None
        finally:
            writer.close()
        return None
