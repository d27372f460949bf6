"""The durable vote of a replica."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VoteState:
    """The current term and the candidate voted for in it.

    The candidate's store is part of the vote: a candidate that lost its
    disk during a term counts as a different candidate.
    """

    term: int = 0
    candidate: str = ""
    candidate_store_id: str = ""
