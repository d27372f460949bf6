"""What a listener's connection needs of the port that it belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fault import HttpFault
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_call_handler import CallHandler
    from rhubarbhollow_calls.io_downstream import Downstream
    from rhubarbhollow_calls.io_listener import ListenerConnection


class CallPort(Protocol):
    """Create handlers for the calls that arrive at one port."""

    @property
    def is_from_node(self) -> bool:
        """Return whether the clients of this port are nodes."""
        ...

    @property
    def dialect(self) -> Dialect:
        """Return the header names that callers and upstreams use."""
        ...

    def may_overlap(self, head: RequestHead) -> bool:
        """Return whether a call may run beside its connection's others.

        True only for calls that may be repeated: one whose response is
        lost behind an earlier one that ends the connection is sent
        again by its caller.
        """
        ...

    def open_call(
        self, head: RequestHead, downstream: Downstream
    ) -> CallHandler:
        """Return a handler that has not been started."""
        ...

    def encode_fault(self, fault: HttpFault) -> bytes:
        """Return the complete response to an unparsable request."""
        ...

    def connection_opened(self, connection: ListenerConnection) -> None:
        """Register an accepted connection."""
        ...

    def connection_closed(self, connection: ListenerConnection) -> None:
        """Unregister a closed connection."""
        ...
