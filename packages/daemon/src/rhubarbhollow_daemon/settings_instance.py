"""Settings of the instance itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Name this instance and its data centre."""

    name: str
    data_centre: str
