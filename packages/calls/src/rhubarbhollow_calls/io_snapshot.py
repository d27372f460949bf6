"""The routing snapshot that a call uses from start to end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhollow_tenants.directory import NO_TENANTS

if TYPE_CHECKING:
    from rhubarbhollow_calls.route_table import RouteTable
    from rhubarbhollow_tenants.directory import TenantDirectory


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold a release's routes and tenants, and its position.

    A node replaces the whole snapshot; a call keeps the one on which it
    began.
    """

    position: int
    route_table: RouteTable
    tenants: TenantDirectory = NO_TENANTS
