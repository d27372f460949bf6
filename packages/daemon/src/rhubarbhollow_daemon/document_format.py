"""Interface to the formats of documents that operators submit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from rhubarbhollow_release.resource_set import ResourceSet


@dataclass(frozen=True, slots=True)
class DocumentFault:
    """Describe why a document is invalid, and at which path."""

    path: str
    detail: str


class DocumentFormat(Protocol):
    """Convert between a document and a manifest's resources.

    ``render`` returns the document that ``read`` was given, unknown
    fields included, so that operators read back what they submitted.
    """

    def read(self, document: bytes) -> Result[ResourceSet, DocumentFault]:
        """Return the resources, all references resolved, or a fault."""
        ...

    def render(self, resources: ResourceSet) -> bytes:
        """Return the document that the resources were read from."""
        ...
