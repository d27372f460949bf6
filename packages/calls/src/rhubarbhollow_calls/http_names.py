"""Lower-case names of the fields that nodes set, read or remove."""

from __future__ import annotations

from typing import Final

MESH_PREFIX: Final = b"rhubarbhollow-"
POSITION: Final = b"rhubarbhollow-position"
ROUTE: Final = b"rhubarbhollow-route"
TIMEOUT_MS: Final = b"rhubarbhollow-timeout-ms"
PRIORITY: Final = b"rhubarbhollow-priority"
IDEMPOTENT: Final = b"rhubarbhollow-idempotent"
DEPTH: Final = b"rhubarbhollow-depth"
REQUEST_ID: Final = b"rhubarbhollow-request-id"
# Sent with each attempt at an upstream, which repeats it.
ATTEMPT: Final = b"rhubarbhollow-attempt"
UPSTREAM: Final = b"rhubarbhollow-upstream"
ORIGIN: Final = b"rhubarbhollow-origin"
CREDENTIAL: Final = b"rhubarbhollow-credential"
TENANT: Final = b"rhubarbhollow-tenant"
# Sent between nodes only.
KEY_FINGERPRINT: Final = b"rhubarbhollow-key-fingerprint"
OBJECTIVE_MS: Final = b"rhubarbhollow-objective-ms"
# Holds all metadata that a node sends to the next with a call.
HOP: Final = b"rhubarbhollow-hop"
SLOTS: Final = b"rhubarbhollow-slots"
EXECUTED: Final = b"rhubarbhollow-executed"
REFUSAL: Final = b"rhubarbhollow-refusal"
NOT_RUN: Final = b"rhubarbhollow-not-run"
RETRY: Final = b"rhubarbhollow-retry"

RETRY_AFTER: Final = b"retry-after"
KEEP_ALIVE: Final = b"keep-alive"
HOST: Final = b"host"
CONTENT_LENGTH: Final = b"content-length"
TRANSFER_ENCODING: Final = b"transfer-encoding"
CONNECTION: Final = b"connection"
UPGRADE: Final = b"upgrade"
EXPECT: Final = b"expect"
IDEMPOTENCY_KEY: Final = b"idempotency-key"

# RFC 9110, section 7.6.1, and names that older software still sends.
HOP_BY_HOP: Final = frozenset(
    (
        CONNECTION,
        TRANSFER_ENCODING,
        UPGRADE,
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
    )
)
