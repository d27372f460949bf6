"""Dependencies of commands that tests replace."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhollow_wire.clock import Clock, SystemClock

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class Environment:
    """The clock, and the function that sleeps between attempts."""

    clock: Clock
    sleep: Callable[[float], None]


def system_environment() -> Environment:
    """Return the system clock and ``time.sleep``."""
    return Environment(SystemClock(), time.sleep)
