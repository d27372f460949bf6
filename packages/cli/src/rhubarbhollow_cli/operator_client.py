"""HTTP client that fails over between servers until a deadline."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import structlog
from result import Err, Ok, Result

from rhubarbhollow_cli.client_fault import (
    Attempt,
    BadReply,
    ClientFault,
    Declined,
    OutcomeUnknown,
    Unreachable,
)
from rhubarbhollow_cli.exchange import (
    ExchangeFault,
    ExchangeFaultKind,
    Reply,
    Request,
    exchange,
)
from rhubarbhollow_cli.problem import Problem, read_problem

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rhubarbhollow_cli.server_address import ServerAddress
    from rhubarbhollow_wire.clock import Clock

ATTEMPT_SECONDS: Final = 10.0
FIRST_PAUSE_SECONDS: Final = 0.1
MAX_PAUSE_SECONDS: Final = 2.0

_log = structlog.get_logger()


@dataclass
class OperatorClient:
    """Try servers in turn, starting with the last one that answered.

    A request whose reply is lost is sent again with the same bytes.
    This is safe: reads have no side effects, and the release ledger
    returns the first answer for a release that is submitted again.
    """

    servers: tuple[ServerAddress, ...]
    clock: Clock
    sleep: Callable[[float], None]
    _first: int = field(default=0, init=False)

    @property
    def preferred(self) -> ServerAddress:
        """Return the server that is tried first."""
        return self.servers[self._first]

    def get_json(
        self,
        target: str,
        deadline: float,
    ) -> Result[dict[str, object], ClientFault]:
        """Get the JSON object at a request target."""
        return self.call_json(Request("GET", target), deadline)

    def call_json(
        self,
        request: Request,
        deadline: float,
    ) -> Result[dict[str, object], ClientFault]:
        """Send a request and return the JSON object of its reply."""
        reply = self.call(request, deadline)
        if isinstance(reply, Err):
            return reply
        server = self.preferred
        try:
            document = json.loads(reply.ok_value.body)
        except (ValueError, RecursionError):
            return Err(BadReply(server, "body is not JSON"))
        if not isinstance(document, dict):
            return Err(BadReply(server, "expected a JSON object"))
        return Ok(document)

    def call(
        self,
        request: Request,
        deadline: float,
    ) -> Result[Reply, ClientFault]:
        """Send a request until a server accepts or rejects it."""
        attempts: dict[ServerAddress, Attempt] = {}
        may_be_applied = False
        pause = FIRST_PAUSE_SECONDS
        while True:
            for server in self._rotation():
                if attempts and self.clock.monotonic() >= deadline:
                    return _give_up(request, attempts, may_be_applied)
                result = self._try(server, request, deadline)
                if not isinstance(result, Attempt):
                    return result
                attempts[server] = result
                may_be_applied |= _may_have_been_applied(result)
            remaining = deadline - self.clock.monotonic()
            self.sleep(max(0.0, min(pause, remaining)))
            pause = min(2 * pause, MAX_PAUSE_SECONDS)

    def prefer_next(self) -> None:
        """Start with the next server from now on."""
        self._first = (self._first + 1) % len(self.servers)

    def _rotation(self) -> tuple[ServerAddress, ...]:
        return self.servers[self._first :] + self.servers[: self._first]

    def _try(
        self,
        server: ServerAddress,
        request: Request,
        deadline: float,
    ) -> Result[Reply, ClientFault] | Attempt:
        now = self.clock.monotonic()
        limit = min(deadline, now + ATTEMPT_SECONDS)
        result = exchange(server, request, self.clock, limit)
        if isinstance(result, Err):
            fault = result.err_value
            _log.debug(
                "attempt_failed",
                server=str(server),
                kind=fault.kind.value,
                detail=fault.detail,
            )
            return Attempt(server, fault)
        reply = result.ok_value
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            problem = read_problem(reply.status, reply.body)
            _log.debug(
                "attempt_failed",
                server=str(server),
                kind=problem.kind,
                detail=problem.detail,
            )
            return Attempt(server, problem)
        self._first = self.servers.index(server)
        if reply.status != HTTPStatus.OK:
            problem = read_problem(reply.status, reply.body)
            return Err(Declined(server, problem))
        return Ok(reply)


def _give_up(
    request: Request,
    attempts: Mapping[ServerAddress, Attempt],
    may_be_applied: bool,
) -> Err[ClientFault]:
    failed = tuple(attempts.values())
    if may_be_applied and request.method != "GET":
        return Err(OutcomeUnknown(failed))
    return Err(Unreachable(failed))


def _may_have_been_applied(attempt: Attempt) -> bool:
    match attempt.fault:
        case ExchangeFault(kind=kind):
            return kind is not ExchangeFaultKind.NOT_SENT
        case Problem(status=status):
            return status != HTTPStatus.SERVICE_UNAVAILABLE
