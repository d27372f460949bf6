"""Votes received by a candidate."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Tally:
    """The votes granted in one election or pre-vote.

    ``store_ids`` maps each voter to the store that granted the vote.
    """

    term: int
    is_probe: bool
    store_ids: dict[str, str] = field(default_factory=dict)
