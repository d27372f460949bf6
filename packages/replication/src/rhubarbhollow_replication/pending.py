"""Requests that wait for the replica's task."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeAlias, TypeVar

import anyio

if TYPE_CHECKING:
    from result import Result

    from rhubarbhollow_replication.change import MembershipChange
    from rhubarbhollow_replication.fault import ChangeFault, ProposeFault

T = TypeVar("T")


@dataclass(eq=False, slots=True)
class Future(Generic[T]):
    """Hand one value from the replica's task to a waiting one."""

    _value: T | None = None
    _is_set: anyio.Event = field(default_factory=anyio.Event)

    def resolve(self, value: T) -> None:
        """Set the value, unless it is set already."""
        if not self._is_set.is_set():
            self._value = value
            self._is_set.set()

    async def wait(self) -> T:
        """Return the value once it is set."""
        await self._is_set.wait()
        if self._value is None:
            raise RuntimeError("answer set without a value")
        return self._value


@dataclass(eq=False, slots=True)
class PendingProposal:
    """Wait for a command to be applied."""

    payload: bytes
    future: Future[Result[object, ProposeFault]] = field(
        default_factory=Future
    )


@dataclass(eq=False, slots=True)
class PendingChange:
    """Wait for a membership change to commit."""

    change: MembershipChange
    future: Future[Result[None, ChangeFault]] = field(default_factory=Future)


@dataclass(eq=False, slots=True)
class PendingRead:
    """Wait for proof that this replica still leads."""

    future: Future[bool] = field(default_factory=Future)


Pending: TypeAlias = PendingProposal | PendingChange | PendingRead
