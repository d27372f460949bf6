"""Documents of another format that operators submit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from rhubarbhollow_release.resource_set import ResourceSet


@dataclass(frozen=True, slots=True)
class DocumentFault:
    """Say why a document is no manifest, and where."""

    path: str
    detail: str


class DocumentFormat(Protocol):
    """Translate between a document and a manifest's resources.

    ``render`` returns what ``read`` was given, unknown fields included,
    so that operators read back what they have submitted.
    """

    def read(self, document: bytes) -> Result[ResourceSet, DocumentFault]:
        """Return the resources, closed under reference, or a fault."""
        ...

    def render(self, resources: ResourceSet) -> bytes:
        """Return the document that the resources were read from."""
        ...
