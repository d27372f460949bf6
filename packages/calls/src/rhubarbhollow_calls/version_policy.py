"""The interface to what decides on versions of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rhubarbhollow_calls.call_result import CallResult
    from rhubarbhollow_calls.endpoint import Endpoint


class VersionPolicy(Protocol):
    """Divide the endpoints of a service by version, and their calls."""

    def divide(
        self, service: str, endpoints: Sequence[Endpoint]
    ) -> tuple[frozenset[str], frozenset[str]] | None:
        """Return the names of stable and new endpoints that get calls.

        ``None`` means that any of ``endpoints`` may get them.
        """
        ...

    def take(self, service: str) -> bool:
        """Return whether the next call goes to the new version."""
        ...

    def give_back(self, service: str) -> None:
        """Return a call that no new endpoint could be chosen for."""
        ...

    def record(
        self,
        endpoint: Endpoint,
        route: str,
        result: CallResult,
        seconds: float,
    ) -> None:
        """Record the end of an attempt."""
        ...
