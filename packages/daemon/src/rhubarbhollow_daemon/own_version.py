"""The version of the installed package."""

from __future__ import annotations

from importlib.metadata import PackageNotFoundError, version


def own_version() -> str:
    """Return the version of the package, or "not installed"."""
    try:
        return version("rhubarbhollow-daemon")
    except PackageNotFoundError:
        return "not installed"
