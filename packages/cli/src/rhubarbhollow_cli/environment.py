"""What a command gets from outside, so that tests can replace it."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhollow_wire.clock import Clock, SystemClock

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class Environment:
    """Hold the clock and the pause between attempts."""

    clock: Clock
    sleep: Callable[[float], None]


def system_environment() -> Environment:
    """Return the operating system's clock and sleep."""
    return Environment(SystemClock(), time.sleep)
