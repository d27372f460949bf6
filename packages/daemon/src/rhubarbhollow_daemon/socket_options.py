"""Socket options of connections between processes of the mesh."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from anyio.abc import SocketAttribute

from rhubarbhollow_wire.keepalive import KeepaliveLimits, enable_keepalive

if TYPE_CHECKING:
    from anyio.abc import ByteStream

# A release has 2 s to reach every node, so a dead connection has to be
# detected and replaced well within that time.
KEEPALIVE_LIMITS: Final = KeepaliveLimits(
    unacknowledged_ms=1_200,
    idle_seconds=2,
    interval_seconds=1,
    probes=2,
)


def detect_lost_peer(stream: ByteStream) -> None:
    """Set the socket options that detect an unreachable peer.

    Streams without a socket, such as those in tests, are left alone.
    """
    raw = stream.extra(SocketAttribute.raw_socket, None)  # noqa: S610
    if raw is not None:
        enable_keepalive(raw, KEEPALIVE_LIMITS)
