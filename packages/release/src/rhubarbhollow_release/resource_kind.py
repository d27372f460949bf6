"""The kinds of resources in a manifest."""

from __future__ import annotations

from enum import StrEnum


class ResourceKind(StrEnum):
    """Enumerate the kinds, which sort like their manifest sections."""

    NOTE = "note"
    RETRY_POLICY = "retry_policy"
    ROUTE = "route"
    SERVICE = "service"
    TENANT = "tenant"
