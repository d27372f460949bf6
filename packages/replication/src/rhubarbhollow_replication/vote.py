"""Messages of an election and its pre-vote."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request for a vote, or for a pre-vote if ``is_probe`` is set.

    A pre-vote asks whether the vote would be granted. Its term is the
    one that the candidate would start, and it does not change the
    state of the voter.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_probe: bool
    store_id: str


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a vote request.

    ``term`` is the requested term if the vote is granted, and the
    voter's current term otherwise.
    """

    term: int
    voter: str
    is_granted: bool
    is_probe: bool
    store_id: str
