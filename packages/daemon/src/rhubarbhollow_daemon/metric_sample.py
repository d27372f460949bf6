"""One sample of a metric."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class MetricSample:
    """Hold the name, help text, value and labels of a sample.

    A name that ends in ``_total`` marks a counter, any other a gauge.
    """

    name: str
    help_text: str
    value: float
    labels: Mapping[str, str] = field(default_factory=dict)

    @property
    def is_counter(self) -> bool:
        """Return whether the metric is a counter, not a gauge."""
        return self.name.endswith("_total")
