"""Names of the header fields shared with callers and upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from rhubarbhollow_calls import http_names as names


@dataclass(frozen=True, slots=True)
class Dialect:
    """Field names used with the callers and upstreams of a mesh.

    All names are in lower case. ``request_id`` is set by the caller,
    forwarded unchanged and repeated by upstreams; ``time_limit`` holds
    the remaining milliseconds; ``upstream`` names the only instance
    that may run the request; ``origin`` names the service beside the
    caller's node; ``not_run`` marks a refusal that an upstream sent
    before it ran any of the request. ``credential`` holds the key of a
    caller's tenant, and ``tenant`` tells upstreams its name.

    ``is_foreign`` is true for the names of another system. Upstreams
    of such a system repeat request IDs, may end a response by closing
    the connection, and are sent none of the native fields. A native
    upstream repeats the id of the attempt, which no caller chooses.
    """

    request_id: bytes = names.REQUEST_ID
    time_limit: bytes = names.TIMEOUT_MS
    upstream: bytes = names.UPSTREAM
    origin: bytes = names.ORIGIN
    not_run: bytes = names.NOT_RUN
    credential: bytes = names.CREDENTIAL
    tenant: bytes = names.TENANT
    is_foreign: bool = False
    # The fields that are forwarded without tenants only, and removed
    # with them. The native ones are never forwarded. Computed once,
    # since each request is compared with them.
    guarded: frozenset[bytes] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        guarded = (self.credential, self.tenant) if self.is_foreign else ()
        object.__setattr__(self, "guarded", frozenset(guarded))

    @property
    def echoed(self) -> bytes:
        """Return the field that matches a response with its request."""
        return self.request_id if self.is_foreign else names.ATTEMPT

    @property
    def dropped(self) -> frozenset[bytes]:
        """Return the additional request fields to read and remove."""
        if not self.is_foreign:
            return frozenset()
        return frozenset((self.time_limit, self.upstream, self.origin))

    @property
    def forwarded(self) -> frozenset[bytes]:
        """Return the additional fields to read and forward."""
        if not self.is_foreign:
            return frozenset()
        return frozenset((self.request_id,))


NATIVE_DIALECT: Final = Dialect()
