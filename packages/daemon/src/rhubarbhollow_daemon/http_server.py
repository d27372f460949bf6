"""The HTTP server of the admin port, an ASGI app under uvicorn."""

from __future__ import annotations

import re
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, TypeAlias

import structlog
import uvicorn
from result import Err, Ok, Result

from rhubarbhollow_daemon.http_request import HttpRequest
from rhubarbhollow_daemon.http_response import HttpResponse, answer_problem

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable, Iterator, Mapping

    Handler = Callable[
        [HttpRequest, Mapping[str, str]], Awaitable[HttpResponse]
    ]

MAX_BODY_BYTES: Final = 24 * 1024 * 1024

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """The request body is longer than ``MAX_BODY_BYTES``."""


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected before the request was complete."""


BodyFault: TypeAlias = BodyTooLarge | ClientDisconnected


@dataclass(frozen=True, slots=True)
class AdminRoute:
    """Bind a method and a path pattern to a handler.

    The handler's second argument holds the pattern's named groups.
    """

    method: str
    pattern: re.Pattern[str]
    handler: Handler


class AdminApplication:
    """Dispatch requests of the admin port to handlers."""

    def __init__(self) -> None:
        self._routes: list[AdminRoute] = []
        self._on_demand: list[Callable[[], None]] = []

    async def __call__(
        self,
        scope: Mapping[str, Any],
        receive: Callable[[], Awaitable[Mapping[str, Any]]],
        send: Callable[[Mapping[str, Any]], Awaitable[None]],
    ) -> None:
        """Handle one ASGI connection; ignore all but HTTP."""
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if isinstance(body, Err) and isinstance(
            body.err_value, ClientDisconnected
        ):
            return
        response = await self._respond(scope, body)
        headers = [
            (b"content-type", response.content_type.encode()),
            (b"content-length", str(len(response.body)).encode()),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": response.body})

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Add a route; ``pattern`` is a regex of the full path."""
        self._routes.append(AdminRoute(method, re.compile(pattern), handler))

    def add_on_demand(self, register: Callable[[], None]) -> None:
        """Call ``register``, which adds routes, at the first request.

        What only operators use is then not loaded at the start, for
        which callers wait.
        """
        self._on_demand.append(register)

    async def _respond(
        self,
        scope: Mapping[str, Any],
        body: Result[bytes, BodyFault],
    ) -> HttpResponse:
        if isinstance(body, Err):
            return answer_problem(
                "body_too_large",
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"the request body is longer than {MAX_BODY_BYTES} bytes",
            )
        request = HttpRequest(
            scope["method"],
            scope["path"],
            scope["query_string"].decode("latin-1"),
            body.ok_value,
            {
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in scope.get("headers", ())
            },
        )
        try:
            return await self._dispatch(request)
        except Exception:
            _log.exception("admin_request_failed", path=request.path)
            return answer_problem(
                "internal_error",
                HTTPStatus.INTERNAL_SERVER_ERROR,
                "unexpected error, see the log of this instance",
            )

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        while self._on_demand:
            self._on_demand.pop()()
        is_path_known = False
        for route in self._routes:
            match = route.pattern.fullmatch(request.path)
            if match is None:
                continue
            is_path_known = True
            if route.method == request.method:
                return await route.handler(request, match.groupdict())
        if is_path_known:
            return answer_problem(
                "method_not_allowed",
                HTTPStatus.METHOD_NOT_ALLOWED,
                f"this path does not support {request.method}",
            )
        return answer_problem(
            "not_found",
            HTTPStatus.NOT_FOUND,
            "no resource exists at this path",
        )


class AdminServer(uvicorn.Server):
    """Run uvicorn without its signal handlers, until stopped."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Keep the signal handlers that the process has installed."""
        yield

    def stop(self) -> None:
        """Request a graceful shutdown of the server."""
        self.should_exit = True


def build_admin_server(application: AdminApplication) -> AdminServer:
    """Return a server that serves sockets bound by the caller."""
    config = uvicorn.Config(
        application,
        loop="none",
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        timeout_graceful_shutdown=1,
    )
    return AdminServer(config)


async def serve_admin(server: AdminServer, bound: socket.socket) -> None:
    """Serve on a bound socket until the server is stopped."""
    await server.serve(sockets=[bound])


async def _read_body(
    receive: Callable[[], Awaitable[Mapping[str, Any]]],
) -> Result[bytes, BodyFault]:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return Err(ClientDisconnected())
        body += message.get("body", b"")
        if len(body) > MAX_BODY_BYTES:
            return Err(BodyTooLarge())
        if not message.get("more_body", False):
            return Ok(bytes(body))
