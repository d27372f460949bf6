"""Client requests that the replica's task has to answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeAlias, TypeVar

import anyio

if TYPE_CHECKING:
    from result import Result

    from rhubarbhollow_replication.fault import ChangeFault, ProposeFault
    from rhubarbhollow_replication.membership_change import MembershipChange

T = TypeVar("T")


@dataclass(eq=False, slots=True)
class Future(Generic[T]):
    """A value that the replica's task sets and another awaits."""

    _value: T | None = None
    _is_set: anyio.Event = field(default_factory=anyio.Event)

    def resolve(self, value: T) -> None:
        """Set the value unless it is already set."""
        if not self._is_set.is_set():
            self._value = value
            self._is_set.set()

    async def wait(self) -> T:
        """Wait for the value and return it."""
        await self._is_set.wait()
        if self._value is None:
            raise RuntimeError(
                "future was resolved with None instead of a value"
            )
        return self._value


@dataclass(eq=False, slots=True)
class PendingProposal:
    """A command that waits to be committed and applied."""

    payload: bytes
    future: Future[Result[object, ProposeFault]] = field(
        default_factory=Future
    )


@dataclass(eq=False, slots=True)
class PendingChange:
    """A membership change that waits to be committed."""

    change: MembershipChange
    future: Future[Result[None, ChangeFault]] = field(default_factory=Future)


@dataclass(eq=False, slots=True)
class PendingRead:
    """A read that waits for this replica to confirm its lease.

    ``index`` is the last entry that it has to see, once it has begun.
    """

    future: Future[bool] = field(default_factory=Future)
    index: int = 0


Pending: TypeAlias = PendingProposal | PendingChange | PendingRead
