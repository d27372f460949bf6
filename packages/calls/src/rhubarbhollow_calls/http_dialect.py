"""The field names that callers and upstreams of a mesh use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from rhubarbhollow_calls import http_names as names


@dataclass(frozen=True, slots=True)
class Dialect:
    """Name the fields that this system shares with its surroundings.

    All names are in lower case.  ``request_id`` is set by the caller,
    passed on unchanged and repeated by upstreams; ``time_limit`` holds
    the milliseconds that are left; ``upstream`` names the instance that
    alone may run the request; ``origin`` the service beside the
    caller's node; ``not_run`` marks an upstream's refusal before it
    ran anything.

    ``is_foreign`` tells the names of another system from our own.  An
    upstream of such a system repeats request ids, may end an answer by
    closing its connection, and hears nothing of our own fields.
    """

    request_id: bytes = names.REQUEST_ID
    time_limit: bytes = names.TIMEOUT_MS
    upstream: bytes = names.UPSTREAM
    origin: bytes = names.ORIGIN
    not_run: bytes = names.NOT_RUN
    is_foreign: bool = False

    @property
    def dropped(self) -> frozenset[bytes]:
        """Return the fields of a request that this hop writes anew."""
        if not self.is_foreign:
            return frozenset()
        return frozenset((self.time_limit, self.upstream, self.origin))

    @property
    def passed(self) -> frozenset[bytes]:
        """Return the fields that are read here and passed on."""
        if not self.is_foreign:
            return frozenset()
        return frozenset((self.request_id,))


NATIVE_DIALECT: Final = Dialect()
