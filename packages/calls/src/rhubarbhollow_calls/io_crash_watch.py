"""Telling a crash of the upstream from a single broken connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rhubarbhollow_calls.io_local_upstream import LocalUpstream

MAX_PROBES: Final = 3
SETTLE_SECONDS: Final = 0.03


@dataclass(frozen=True, slots=True)
class BrokenCall:
    """A call whose connection the upstream broke before it answered."""

    fingerprint: bytes
    epoch: int


class BreakJudge(Protocol):
    """Take the verdict on calls that broke."""

    def __call__(self, calls: Sequence[BrokenCall], is_crashed: bool) -> None:
        """Learn whether the upstream crashed under ``calls``."""
        ...


class CrashWatch:
    """Connect once more when a connection breaks during a call.

    If nobody listens there any more, the upstream has crashed, and all
    calls that were in flight are suspects.  Until that is known, calls
    that broke count as in flight.
    """

    def __init__(
        self, upstream: LocalUpstream, connect_timeout_seconds: float
    ) -> None:
        self._upstream = upstream
        self._connect_timeout_seconds = connect_timeout_seconds
        self._broken: list[BrokenCall] = []
        self._probe: asyncio.Task[None] | None = None

    def note_broken(self, call: BrokenCall, judge: BreakJudge) -> None:
        """Take a broken call; ``judge`` hears of it later."""
        self._broken.append(call)
        if self._probe is None:
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._check(judge))

    def close(self) -> None:
        """Stop checking; what is open stays undecided."""
        if self._probe is not None:
            self._probe.cancel()

    async def _check(self, judge: BreakJudge) -> None:
        is_listening = await self._is_listening()
        self._probe = None
        broken, self._broken = self._broken, []
        judge(broken, is_crashed=not is_listening)

    async def _is_listening(self) -> bool:
        for _ in range(MAX_PROBES):
            verdict = await self._probe_once()
            if verdict is not None:
                return verdict
        return False

    async def _probe_once(self) -> bool | None:
        """Return whether the upstream listens, or nothing if unclear.

        A process that is ending closes its sockets one by one: a new
        connection may be accepted and then closed at once.
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
            async with asyncio.timeout(SETTLE_SECONDS):
                await reader.read(1)
        except TimeoutError:
            return True
        except OSError:
            return None
        finally:
            writer.close()
        return None
