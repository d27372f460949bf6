"""Entry point of ``rhubarbhollowd``."""

from __future__ import annotations

from rhubarbhollow_daemon.hangup import ignore_hangups


def main() -> None:
    """Run the command, with SIGHUP ignored while it is imported."""
    ignore_hangups()
    from rhubarbhollow_daemon.command import run  # noqa: PLC0415

    run()
