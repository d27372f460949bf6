"""Conversion of the sections of a validated document to settings."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from rhubarbhollow_daemon.settings_calls import CallsSettings
from rhubarbhollow_daemon.settings_control import ControlSettings
from rhubarbhollow_daemon.settings_distribution import DistributionSettings
from rhubarbhollow_daemon.settings_drain import DrainSettings
from rhubarbhollow_distribution.control_address import ControlAddress

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path


def read_section(section: Mapping[str, Any]) -> dict[str, Any]:
    """Convert values with a unit to durations.

    The suffix ``_ms`` or ``_seconds`` is removed from their keys.
    """
    return dict(_read_value(key, value) for key, value in section.items())


def read_controls(
    entries: list[Mapping[str, Any]],
) -> tuple[ControlAddress, ...]:
    """Convert the addresses of all control instances."""
    return tuple(ControlAddress(**entry) for entry in entries)


def read_control(
    section: Mapping[str, Any] | None,
    folder: Path,
) -> ControlSettings | None:
    """Convert the control section, or return ``None`` without one.

    A relative data folder is resolved against ``folder``.
    """
    if section is None:
        return None
    values = read_section(section)
    values["data_folder"] = folder / values["data_folder"]
    values["members"] = tuple(values["members"])
    return ControlSettings(**values)


def read_distribution(section: Mapping[str, Any]) -> DistributionSettings:
    """Convert the distribution section."""
    return DistributionSettings(**read_section(section))


def read_calls(section: Mapping[str, Any]) -> CallsSettings:
    """Convert the section of the call path."""
    return CallsSettings(**read_section(section))


def read_drain(section: Mapping[str, Any]) -> DrainSettings:
    """Convert the section of the graceful shutdown."""
    return DrainSettings(**read_section(section))


def _read_value(key: str, value: object) -> tuple[str, object]:
    if isinstance(value, int) and key.endswith("_ms"):
        return key.removesuffix("_ms"), timedelta(milliseconds=value)
    if isinstance(value, int | float) and key.endswith("_seconds"):
        return key.removesuffix("_seconds"), timedelta(seconds=value)
    return key, value
