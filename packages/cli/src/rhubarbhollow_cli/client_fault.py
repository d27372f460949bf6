"""Why no server has done what was asked."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_cli.exchange import ExchangeFault
    from rhubarbhollow_cli.problem import Problem
    from rhubarbhollow_cli.server_address import ServerAddress


@dataclass(frozen=True, slots=True)
class Attempt:
    """Hold the last failure at one server."""

    server: ServerAddress
    fault: ExchangeFault | Problem


@dataclass(frozen=True, slots=True)
class Declined:
    """Say that a server has refused the request for good."""

    server: ServerAddress
    problem: Problem


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Say that nothing was done at any server by the deadline."""

    attempts: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Say that a server may have done what was asked."""

    attempts: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class BadReply:
    """Say that a server's reply has another shape than agreed."""

    server: ServerAddress
    detail: str


ClientFault: TypeAlias = Declined | Unreachable | OutcomeUnknown | BadReply
