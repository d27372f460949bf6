"""Accepted releases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_release.approval import Approval
    from rhubarbhollow_release.resource_set import ResourceSet


@dataclass(frozen=True, slots=True)
class Release:
    """Store an accepted release: position, content and approval.

    The ledger assigns ``position``, which increases by one with each
    release; operators choose the version in the resources' header.
    """

    position: int
    resources: ResourceSet
    approval: Approval
