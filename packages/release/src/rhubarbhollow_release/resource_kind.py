"""The kinds of resource that a manifest holds."""

from __future__ import annotations

from enum import StrEnum


class ResourceKind(StrEnum):
    """Name a kind; kinds sort as their sections in a manifest do."""

    NOTE = "note"
    RETRY_POLICY = "retry_policy"
    ROUTE = "route"
    SERVICE = "service"
