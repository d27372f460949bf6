"""Commands that explain decisions of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import quote, urlencode

import click

from rhubarbhollow_cli.query import query_command, show_command
from rhubarbhollow_cli.view import View

if TYPE_CHECKING:
    from rhubarbhollow_cli.session import Session

_CANDIDATES: Final = View(
    "candidates",
    (
        "upstream",
        "data_centre",
        "is_local",
        "in_flight",
        "latency_ms",
        "state",
        "is_eligible",
        "reason",
    ),
)
_REQUEST_CANDIDATES: Final = View(
    "candidates",
    (
        "upstream",
        "service",
        "data_centre",
        "state",
        "reason",
        "slots",
        "in_flight",
        "latency_ms",
        "failures",
        "refusals",
        "share",
        "chosen_as",
    ),
)
_EVENTS: Final = View("events")


def _explain_route(session: Session, host: str, path: str) -> None:
    query = urlencode({"host": host, "path": path})
    session.show(f"/v1/explain/route?{query}", _CANDIDATES)


def _explain_request(
    session: Session, host: str, path: str, method: str, tenant: str | None
) -> None:
    asked = {"host": host, "path": path, "method": method}
    if tenant is not None:
        asked["tenant"] = tenant
    target = f"/v1/explain/request?{urlencode(asked)}"
    session.show(target, _REQUEST_CANDIDATES)


def _explain_call(session: Session, request_id: str) -> None:
    session.show(f"/v1/explain/call/{quote(request_id, safe='')}", _EVENTS)


@click.group("explain")
def explain() -> None:
    """Explain a decision of the instance that is queried."""


explain.add_command(
    query_command(
        "route",
        "Show where calls to HOST and PATH go, and why.",
        _explain_route,
        click.Argument(["host"]),
        click.Argument(["path"]),
    ),
)
explain.add_command(
    query_command(
        "request",
        "Show where a request to HOST and PATH would go now, and why."
        " Nothing is sent.",
        _explain_request,
        click.Argument(["host"]),
        click.Argument(["path"]),
        click.Option(["--method"], default="GET", show_default=True),
        click.Option(["--tenant"], help="Name of the calling tenant."),
    ),
)
explain.add_command(
    query_command(
        "call",
        "Show what happened to the call REQUEST_ID.",
        _explain_call,
        click.Argument(["request_id"]),
    ),
)
explain.add_command(
    show_command(
        "node",
        "Show why the instance has its current release.",
        "/v1/explain/node",
    ),
)
