"""SIGHUP, which supervisors send so that settings are read again.

Entry points call this before they import the program, which takes most
of a start: by default the signal ends the process.
"""

from __future__ import annotations

import signal


def ignore_hangups() -> None:
    """Ignore SIGHUP; what can be reloaded is watched in its file."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
