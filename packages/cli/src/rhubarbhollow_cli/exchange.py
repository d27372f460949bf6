"""One HTTP request to one server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import httpcore
from result import Err, Ok, Result

from rhubarbhollow_cli.deadline_stream import DeadlineBackend

if TYPE_CHECKING:
    from rhubarbhollow_cli.server_address import ServerAddress
    from rhubarbhollow_wire.clock import Clock

MAX_REPLY_BYTES: Final = 64 << 20


@dataclass(frozen=True, slots=True)
class Request:
    """A request that does not depend on the server it is sent to."""

    method: str
    target: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply."""

    status: int
    body: bytes


class ExchangeFaultKind(StrEnum):
    """Classify a failed exchange.

    Only after ``NOT_SENT`` is it certain that the server has not
    executed the request.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class ExchangeFault:
    """Why no complete reply was received."""

    kind: ExchangeFaultKind
    detail: str


def exchange(
    server: ServerAddress,
    request: Request,
    clock: Clock,
    deadline: float,
) -> Result[Reply, ExchangeFault]:
    """Send a request on a new connection and read the reply."""
    backend = DeadlineBackend(clock, deadline)
    try:
        with httpcore.ConnectionPool(network_backend=backend) as pool:
            return _send(pool, server, request)
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
        return _fault(ExchangeFaultKind.NOT_SENT, error)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        return _fault(ExchangeFaultKind.LOST, error)


def _send(
    pool: httpcore.ConnectionPool,
    server: ServerAddress,
    request: Request,
) -> Result[Reply, ExchangeFault]:
    headers = [("Connection", "close")]
    if request.body:
        headers.append(("Content-Type", "application/json"))
    body = bytearray()
    with pool.stream(
        request.method,
        f"{server}{request.target}",
        headers=headers,
        content=request.body,
    ) as response:
        for chunk in response.iter_stream():
            body += chunk
            if len(body) > MAX_REPLY_BYTES:
                detail = f"reply is larger than {MAX_REPLY_BYTES} bytes"
                kind = ExchangeFaultKind.TOO_LARGE
                return Err(ExchangeFault(kind, detail))
        return Ok(Reply(response.status, bytes(body)))


def _fault(kind: ExchangeFaultKind, error: Exception) -> Err[ExchangeFault]:
    text = f"{type(error).__name__}: {error}" if str(error) else ""
    return Err(ExchangeFault(kind, text or type(error).__name__))
