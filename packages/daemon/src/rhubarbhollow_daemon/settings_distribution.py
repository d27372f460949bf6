"""Settings of the distribution of releases and endpoints to nodes."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """Hold the timing of release and endpoint distribution.

    A longer ``coalescing`` window sends fewer messages, but delays
    changes; ``load`` is the window for changes of load alone.  A node's
    lease ends when nothing was received from it for ``lease``.  A node
    leaves a source that is silent for ``silence``, or for three
    heartbeats if that is longer, and returns to one in its own data
    centre after ``return_after``.  ``reconnect_cap`` bounds the delay
    between two connection attempts.
    """

    coalescing: timedelta = timedelta(milliseconds=20)
    load: timedelta = timedelta(milliseconds=1000)
    heartbeat: timedelta = timedelta(milliseconds=1000)
    lease: timedelta = timedelta(milliseconds=4000)
    silence: timedelta = timedelta(milliseconds=3000)
    return_after: timedelta = timedelta(seconds=60)
    reconnect_cap: timedelta = timedelta(seconds=10)
