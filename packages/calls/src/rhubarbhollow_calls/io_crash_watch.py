"""Telling a crash of the upstream from a single broken connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rhubarbhollow_calls.io_local_upstream import LocalUpstream


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
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                _, writer = await asyncio.open_connection(
                    self._upstream.host, self._upstream.port
                )
        except TimeoutError:
            return True
        except OSError:
            return False
        writer.close()
        return True
