"""State of a command that calls servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from result import Err, Result

from rhubarbhollow_cli.failure import CommandFault, fail
from rhubarbhollow_cli.operator_client import OperatorClient
from rhubarbhollow_cli.output import OutputFormat, print_document

if TYPE_CHECKING:
    from rhubarbhollow_cli.environment import Environment
    from rhubarbhollow_cli.server_address import ServerAddress
    from rhubarbhollow_cli.view import DocumentView

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Session:
    """A client, the command's deadline and its output format."""

    client: OperatorClient
    deadline: float
    output: OutputFormat

    def require(self, result: Result[T, CommandFault]) -> T:
        """Return the value, or raise ``CommandFailure``."""
        return require(result, self.output)

    def show(self, target: str, view: DocumentView | None = None) -> None:
        """Get and print the document at a request target."""
        document = self.client.get_json(target, self.deadline)
        print_document(self.require(document), self.output, view)


def require(result: Result[T, CommandFault], output: OutputFormat) -> T:
    """Return the value, or raise ``CommandFailure``."""
    if isinstance(result, Err):
        fail(result.err_value, output)
    return result.ok_value


def open_session(
    environment: Environment,
    servers: tuple[ServerAddress, ...],
    timeout_seconds: float,
    output: OutputFormat,
) -> Session:
    """Create a session whose timeout starts now."""
    client = OperatorClient(servers, environment.clock, environment.sleep)
    deadline = environment.clock.monotonic() + timeout_seconds
    return Session(client, deadline, output)
