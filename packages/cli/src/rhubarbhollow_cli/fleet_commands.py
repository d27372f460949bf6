"""Commands that show the state of the fleet."""

from __future__ import annotations

from typing import Final

from rhubarbhollow_cli.query import show_command
from rhubarbhollow_cli.view import View

status: Final = show_command(
    "status",
    "Show an instance and the release in force on it.",
    "/v1/status",
    View("members", ("name", "role", "match_index")),
)

releases: Final = show_command(
    "releases",
    "List the accepted releases.",
    "/v1/releases",
    View("releases", ("position", "version", "state", "digest", "key_id")),
)

nodes: Final = show_command(
    "nodes",
    "List the nodes and the release that each has applied.",
    "/v1/nodes",
    View(
        "nodes",
        (
            "name",
            "data_centre",
            "control",
            "active_position",
            "staged_position",
            "age_seconds",
        ),
    ),
)

upstreams: Final = show_command(
    "upstreams",
    "List the announced upstreams.",
    "/v1/upstreams",
    View(
        "upstreams",
        (
            "name",
            "service",
            "data_centre",
            "address",
            "state",
            "slots",
            "node",
        ),
    ),
)
