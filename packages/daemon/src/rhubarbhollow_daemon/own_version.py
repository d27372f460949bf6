"""The version of this program."""

from __future__ import annotations

from importlib.metadata import PackageNotFoundError, version


def own_version() -> str:
    """Return the installed version, if the package is installed."""
    try:
        return version("rhubarbhollow-daemon")
    except PackageNotFoundError:
        return "not installed"
