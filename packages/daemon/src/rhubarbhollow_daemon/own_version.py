"""The version of the installed package."""

from __future__ import annotations

from functools import cache


@cache
def own_version() -> str:
    """Return the version of the package, or "not installed"."""
    # Loaded late, since callers wait for the start of the process.
    from importlib.metadata import (  # noqa: PLC0415
        PackageNotFoundError,
        version,
    )

    try:
        return version("rhubarbhollow-daemon")
    except PackageNotFoundError:
        return "not installed"
