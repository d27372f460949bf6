"""Socket options of connections between our own processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from anyio.abc import SocketAttribute

from rhubarbhollow_wire.loss_watch import LossLimits, watch_for_loss

if TYPE_CHECKING:
    from anyio.abc import ByteStream

# a release has 2 s to reach every node, so a connection that went
# silent has to be replaced well within that
LIMITS: Final = LossLimits(
    unacknowledged_ms=1_200,
    idle_seconds=2,
    interval_seconds=1,
    probes=2,
)


def detect_lost_peer(stream: ByteStream) -> None:
    """Watch a connection for the loss of its other end.

    A stream that is no socket is left as it is.
    """
    raw = stream.extra(SocketAttribute.raw_socket, None)  # noqa: S610
    if raw is not None:
        watch_for_loss(raw, LIMITS)
