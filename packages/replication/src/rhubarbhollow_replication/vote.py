"""Messages of an election."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for a vote, or with ``is_probe`` whether one would be given.

    A probe (pre-vote) names the term that the candidate would start;
    it changes nothing at the voter.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_probe: bool
    store_id: str


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer a vote request.

    ``term`` is the requested term when granted, else the voter's own.
    """

    term: int
    voter: str
    is_granted: bool
    is_probe: bool
    store_id: str
