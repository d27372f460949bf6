"""Error output and exit codes of failed commands."""

from __future__ import annotations

import json
from dataclasses import asdict
from http import HTTPStatus
from typing import IO, TYPE_CHECKING, Any, NoReturn, TypeAlias

import click

from rhubarbhollow_cli.client_fault import (
    Attempt,
    BadReply,
    ClientFault,
    Declined,
    OutcomeUnknown,
    Unreachable,
)
from rhubarbhollow_cli.exchange import ExchangeFault
from rhubarbhollow_cli.exit_code import ExitCode
from rhubarbhollow_cli.input_fault import InputFault
from rhubarbhollow_cli.not_confirmed import NotConfirmed
from rhubarbhollow_cli.output import OutputFormat
from rhubarbhollow_cli.problem import Problem
from rhubarbhollow_cli.table import format_cell, format_table
from rhubarbhollow_cli.tenant_keys import TenantFault
from rhubarbhollow_release.approval_fault import ApprovalFault
from rhubarbhollow_release.keys import KeyFault
from rhubarbhollow_release.manifest_fault import ManifestFaults

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

CommandFault: TypeAlias = (
    ClientFault
    | InputFault
    | ManifestFaults
    | ApprovalFault
    | KeyFault
    | NotConfirmed
    | TenantFault
)


class CommandFailure(click.ClickException):
    """Report a typed fault by the exit code and on standard error."""

    def __init__(self, fault: CommandFault, output: OutputFormat) -> None:
        super().__init__(_title_of(fault))
        self.fault = fault
        # click reads this attribute of the exception.
        self.exit_code = _exit_code_of(fault)  # type: ignore[misc]
        self._output = output

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the fault to the standard error."""
        members = _members_of(self.fault)
        if self._output is OutputFormat.JSON:
            document = {"error": self.message, **members}
            click.echo(json.dumps(document), file=file, err=file is None)
            return
        lines = [f"Error: {format_cell(self.message)}"]
        lines.extend(_lines_of(members))
        click.echo("\n".join(lines), file=file, err=file is None)


def fail(fault: CommandFault, output: OutputFormat) -> NoReturn:
    """Raise ``CommandFailure``, which ends the command."""
    raise CommandFailure(fault, output)


def _exit_code_of(fault: CommandFault) -> ExitCode:
    match fault:
        case Declined(problem=problem):
            return _exit_code_of_status(problem.status)
        case Unreachable() | OutcomeUnknown() | BadReply() | NotConfirmed():
            return ExitCode.UNKNOWN
        case InputFault() | ManifestFaults() | ApprovalFault() | KeyFault():
            return ExitCode.BAD_INPUT
        case TenantFault():
            return ExitCode.BAD_INPUT


def _exit_code_of_status(status: int) -> ExitCode:
    match status:
        case HTTPStatus.CONFLICT:
            return ExitCode.CONFLICT
        case HTTPStatus.FORBIDDEN | HTTPStatus.UNPROCESSABLE_ENTITY:
            return ExitCode.REFUSED
    return ExitCode.BAD_INPUT


def _title_of(fault: CommandFault) -> str:
    match fault:
        case Declined(problem=problem):
            return _title_of_problem(problem)
        case Unreachable():
            return (
                "no server answered successfully before the deadline; "
                "nothing was changed"
            )
        case OutcomeUnknown():
            return (
                "outcome unknown: the release may have been accepted; "
                "submitting the same files again is safe"
            )
        case BadReply(server=server, detail=detail):
            return f"cannot read the reply of {server}: {detail}"
        case NotConfirmed(position=position):
            return (
                f"accepted at position {position}, "
                "but not seen in force on all nodes before the deadline"
            )
        case (
            InputFault(name=name, detail=detail)
            | TenantFault(tenant=name, detail=detail)
        ):
            return f"{name}: {detail}"
        case ManifestFaults(faults=faults):
            return f"the manifest is invalid; faults: {len(faults)}"
        case ApprovalFault(kind=kind, detail=detail):
            return f"approval: {kind.value}: {detail}"
        case KeyFault(kind=kind, detail=detail):
            return f"key: {kind.value}: {detail}"


def _title_of_problem(problem: Problem) -> str:
    fault = problem.members.get("fault")
    kind = fault if isinstance(fault, str) else ""
    reason = " ".join(part for part in (kind, problem.detail) if part)
    return f"{problem.title}: {reason}" if reason else problem.title


def _members_of(fault: CommandFault) -> Mapping[str, object]:
    match fault:
        case Declined(server=server, problem=problem):
            kind = {"kind": problem.kind, "server": str(server)}
            return {**problem.members, **kind}
        case Unreachable(attempts=attempts):
            return {"kind": "unreachable", "attempts": _rows_of(attempts)}
        case OutcomeUnknown(attempts=attempts):
            return {"kind": "outcome_unknown", "attempts": _rows_of(attempts)}
        case BadReply():
            return {"kind": "bad_reply"}
        case NotConfirmed(position=position, last_status=status):
            last = asdict(status) if status else None
            lagging = [asdict(node) for node in fault.lagging]
            return {
                "kind": "not_confirmed",
                "position": position,
                "last_status": last,
                "lagging": lagging,
            }
        case ManifestFaults(faults=faults):
            rows = [asdict(each) for each in faults]
            return {"kind": "manifest_invalid", "faults": rows}
        case InputFault(kind=kind) | ApprovalFault(kind=kind):
            return {"kind": kind.value}
        case KeyFault(kind=kind) | TenantFault(kind=kind):
            return {"kind": kind.value}


def _rows_of(attempts: Sequence[Attempt]) -> list[dict[str, object]]:
    return [
        {
            "server": str(attempt.server),
            "kind": _kind_of(attempt.fault),
            "detail": attempt.fault.detail,
        }
        for attempt in attempts
    ]


def _kind_of(fault: ExchangeFault | Problem) -> str:
    match fault:
        case ExchangeFault(kind=kind):
            return kind.value
        case Problem(kind=name):
            return name


def _lines_of(members: Mapping[str, object]) -> list[str]:
    lines = []
    for key, value in members.items():
        rows = value if isinstance(value, list) else []
        if rows and all(isinstance(row, dict) for row in rows):
            lines.append(format_table(tuple(rows[0]), rows))
        else:
            lines.append(f"{key}: {format_cell(value)}")
    return lines
