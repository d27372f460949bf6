"""Settings of the distribution to nodes."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """Weigh convergence time against control bytes.

    A longer ``coalescing`` window sends fewer messages; ``load`` is the
    window for changes of load alone.  A node's lease ends when nothing
    was heard of it for ``lease``.  A node leaves a source that is
    silent for ``silence``, and goes back to one of its own data centre
    after ``return_after``.  ``reconnect_cap`` bounds the pause between
    two tries to connect.
    """

    coalescing: timedelta = timedelta(milliseconds=20)
    load: timedelta = timedelta(milliseconds=1000)
    heartbeat: timedelta = timedelta(milliseconds=1000)
    lease: timedelta = timedelta(milliseconds=4000)
    silence: timedelta = timedelta(milliseconds=3000)
    return_after: timedelta = timedelta(seconds=60)
    reconnect_cap: timedelta = timedelta(seconds=10)
