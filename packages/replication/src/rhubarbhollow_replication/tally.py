"""The votes that a candidate has received."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Tally:
    """Collect the stores that granted one election or its probe."""

    term: int
    is_probe: bool
    store_ids: dict[str, str] = field(default_factory=dict)
