"""A scheduled attempt to connect to a control instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_distribution.change_reason import ChangeReason
    from rhubarbhollow_distribution.control_address import ControlAddress


@dataclass(frozen=True, slots=True)
class Attempt:
    """Connect to ``address`` after ``delay_seconds``.

    ``fallbacks`` are tried beside it, in order, if it does not accept
    at once.
    """

    address: ControlAddress
    delay_seconds: float
    reason: ChangeReason
    fallbacks: tuple[ControlAddress, ...] = ()
