"""The side of a call that its connection drives."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_fault import HttpFault


class CallHandler(Protocol):
    """Handle one call that arrived on a listener's connection."""

    def start(self) -> None:
        """Start the call; may end it synchronously."""
        ...

    def request_data(self, data: bytes) -> None:
        """Handle a part of the request body."""
        ...

    def request_ended(self) -> None:
        """Handle the end of the complete request."""
        ...

    def request_broken(self, fault: HttpFault) -> None:
        """Handle a request whose body turned out to be malformed."""
        ...

    def cancel(self) -> None:
        """Stop, since the caller no longer waits for the response."""
        ...

    def pause_response(self) -> None:
        """Stop writing, since the send buffer is full."""
        ...

    def resume_response(self) -> None:
        """Continue to write."""
        ...
