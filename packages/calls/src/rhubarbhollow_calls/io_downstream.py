"""What an exchange needs of the connection that its call arrived on."""

from __future__ import annotations

from typing import Protocol


class Downstream(Protocol):
    """Take the response to one request and steer its body."""

    def is_last_response(self) -> bool:
        """Return whether the connection ends after this response.

        After a true result no further call starts on the connection.
        """
        ...

    def write(self, data: bytes) -> None:
        """Send a part of the response, or hold it until its turn."""
        ...

    def discard_response(self) -> bool:
        """Drop what was written; false if a part of it was sent."""
        ...

    def end_call(self) -> None:
        """End the call after its response has been written."""
        ...

    def abort(self) -> None:
        """Reset the connection, to mark the response as truncated."""
        ...

    def pause_request(self) -> None:
        """Stop reading the request for now."""
        ...

    def resume_request(self) -> None:
        """Continue to read the request."""
        ...
