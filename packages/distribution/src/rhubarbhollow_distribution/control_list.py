"""The message that lists known control instances."""

from dataclasses import dataclass

from rhubarbhollow_distribution.control_address import ControlAddress


@dataclass(frozen=True, slots=True)
class ControlList:
    """List every control instance that the sender knows."""

    controls: tuple[ControlAddress, ...]
