"""Interface to the ports that an extension adds to a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_daemon.document_format import DocumentFormat
    from rhubarbhollow_daemon.document_relay import DocumentRelay
    from rhubarbhollow_daemon.node_parts import NodeParts
    from rhubarbhollow_daemon.rollout_orders import RolloutOrders
    from rhubarbhollow_daemon.settings import Settings


@dataclass(frozen=True, slots=True)
class ExtensionHost:
    """Hold the components of a process that an extension may use.

    ``node``, ``control``, ``documents`` and ``rollouts`` are ``None``
    if the process has no such component.
    """

    settings: Settings
    node: NodeParts | None
    control: ControlParts | None
    documents: DocumentRelay | None
    rollouts: RolloutOrders | None = None


class Extension(Protocol):
    """Serve additional ports, such as a gateway to another platform."""

    @property
    def document_format(self) -> DocumentFormat | None:
        """Return the format of submitted documents, or ``None``."""
        ...

    def start(self, host: ExtensionHost, group: TaskGroup) -> None:
        """Start the tasks of the extension in ``group``."""
        ...

    def begin_leaving(self) -> None:
        """Handle the start of a graceful shutdown."""
        ...

    def stop(self) -> None:
        """Close the ports before the process ends."""
        ...
