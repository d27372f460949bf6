"""Submitting a release and waiting until it is in force."""

from __future__ import annotations

import base64
import json
from itertools import islice
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from rhubarbhollow_cli.client_fault import BadReply, ClientFault
from rhubarbhollow_cli.exchange import Request
from rhubarbhollow_cli.not_confirmed import NotConfirmed
from rhubarbhollow_cli.replies import (
    FleetStatus,
    NodeProgress,
    SubmissionReply,
    read_fleet_status,
    read_nodes,
    read_submission_reply,
)
from rhubarbhollow_release.approval_codec import encode_approval

if TYPE_CHECKING:
    from collections.abc import Callable

    from rhubarbhollow_cli.operator_client import OperatorClient
    from rhubarbhollow_release.approval import Approval

POLL_SECONDS: Final = 0.25
FINAL_QUERY_SECONDS: Final = 1.0
MAX_LAGGING_NODES: Final = 20


def submit_release(
    client: OperatorClient,
    document: bytes,
    approval: Approval,
    deadline: float,
) -> Result[SubmissionReply, ClientFault]:
    """Submit a release, sending each server the same bytes."""
    body = json.dumps(
        {
            "manifest": base64.b64encode(document).decode(),
            "approval": json.loads(encode_approval(approval)),
        },
    )
    request = Request("POST", "/v1/releases", body.encode())
    reply = client.call_json(request, deadline)
    if isinstance(reply, Err):
        return reply
    read = read_submission_reply(reply.ok_value)
    if isinstance(read, Err):
        server = client.preferred
        return Err(BadReply(server, f"invalid field {read.err_value.field}"))
    return read


def wait_in_force(
    client: OperatorClient,
    position: int,
    deadline: float,
    show: Callable[[FleetStatus], None],
) -> Result[FleetStatus, NotConfirmed]:
    """Wait until every known node has the position or a later one.

    ``show`` is called with each status that differs from the previous
    one.  The end of the timeout is kept for a query of lagging nodes.
    """
    last: FleetStatus | None = None
    remaining = deadline - client.clock.monotonic()
    # Keep at most a quarter of a short timeout for the final query.
    last_poll = deadline - min(FINAL_QUERY_SECONDS, remaining / 4)
    while client.clock.monotonic() < last_poll:
        status = _read_status(client, last_poll)
        if status is None or not status.is_fresh:
            # A partitioned server would not report any progress.
            client.prefer_next()
        elif status.is_in_force(position):
            return Ok(status)
        if status is not None and status != last:
            show(status)
            last = status
        remaining = last_poll - client.clock.monotonic()
        client.sleep(max(0.0, min(POLL_SECONDS, remaining)))
    lagging = _find_lagging(client, position, deadline)
    return Err(NotConfirmed(position, last, lagging))


def _find_lagging(
    client: OperatorClient,
    position: int,
    deadline: float,
) -> tuple[NodeProgress, ...]:
    document = client.get_json("/v1/nodes", deadline)
    if isinstance(document, Err):
        return ()
    nodes = read_nodes(document.ok_value).unwrap_or(())
    lagging = (node for node in nodes if node.active_position < position)
    return tuple(islice(lagging, MAX_LAGGING_NODES))


def _read_status(
    client: OperatorClient,
    deadline: float,
) -> FleetStatus | None:
    document = client.get_json("/v1/status", deadline)
    if isinstance(document, Err):
        return None
    return read_fleet_status(document.ok_value).ok()
