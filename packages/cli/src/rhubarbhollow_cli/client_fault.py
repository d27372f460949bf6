"""Reasons why a request to the servers failed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_cli.exchange import ExchangeFault
    from rhubarbhollow_cli.problem import Problem
    from rhubarbhollow_cli.server_address import ServerAddress


@dataclass(frozen=True, slots=True)
class Attempt:
    """The last failed attempt at one server."""

    server: ServerAddress
    fault: ExchangeFault | Problem


@dataclass(frozen=True, slots=True)
class Declined:
    """A server has rejected the request; a retry would not help."""

    server: ServerAddress
    problem: Problem


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No server answered successfully by the deadline.

    The request has changed nothing: it only reads, or no server has
    executed it.
    """

    attempts: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A server may have executed the request."""

    attempts: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class BadReply:
    """A server's reply does not have the expected format."""

    server: ServerAddress
    detail: str


ClientFault: TypeAlias = Declined | Unreachable | OutcomeUnknown | BadReply
