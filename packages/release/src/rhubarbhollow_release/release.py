"""An accepted release."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_release.approval import Approval
    from rhubarbhollow_release.resource_set import ResourceSet


@dataclass(frozen=True, slots=True)
class Release:
    """Hold a release's place in the order, its content and approval.

    ``position`` is given by the ledger and rises by one; the version in
    the resources' header is the operator's.
    """

    position: int
    resources: ResourceSet
    approval: Approval
