"""The control instances that a process knows of."""

from dataclasses import dataclass

from rhubarbhollow_distribution.control_address import ControlAddress


@dataclass(frozen=True, slots=True)
class ControlList:
    """Tell of every control instance that the sender knows."""

    controls: tuple[ControlAddress, ...]
