"""What a replica has promised to candidates."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VoteState:
    """Hold the current term and the candidate voted for in it.

    The candidate's store is part of the promise: a candidate that has
    lost its disk within a term is another one.
    """

    term: int = 0
    candidate: str = ""
    candidate_store_id: str = ""
