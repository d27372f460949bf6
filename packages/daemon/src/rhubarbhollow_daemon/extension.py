"""Ports that a gateway to another platform adds to a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_daemon.document_format import DocumentFormat
    from rhubarbhollow_daemon.document_relay import DocumentRelay
    from rhubarbhollow_daemon.node_parts import NodeParts
    from rhubarbhollow_daemon.settings import Settings


@dataclass(frozen=True, slots=True)
class ExtensionHost:
    """Hold what a process lets an extension use.

    ``node``, ``control`` and ``documents`` are none where the process
    has no such part.
    """

    settings: Settings
    node: NodeParts | None
    control: ControlParts | None
    documents: DocumentRelay | None


class Extension(Protocol):
    """Serve further ports beside those of the process."""

    @property
    def document_format(self) -> DocumentFormat | None:
        """Return the format of the documents that operators submit."""
        ...

    def start(self, host: ExtensionHost, group: TaskGroup) -> None:
        """Start the tasks of the extension in ``group``."""
        ...

    def begin_leaving(self) -> None:
        """Learn that the process was asked to stop."""
        ...

    def stop(self) -> None:
        """Close the ports, since the process ends."""
        ...
