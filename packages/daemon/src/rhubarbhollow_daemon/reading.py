"""One number of a component, for metrics."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Reading:
    """Name a number, its meaning and its labels.

    Counters only rise, and their names end in ``_total``.
    """

    name: str
    help_text: str
    value: float
    labels: Mapping[str, str] = field(default_factory=dict)

    @property
    def is_counter(self) -> bool:
        """Return whether the number only rises."""
        return self.name.endswith("_total")
