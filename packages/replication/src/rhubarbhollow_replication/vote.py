"""Messages of an election and its pre-vote."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request for a vote, or for a pre-vote if ``is_probe`` is set.

    A pre-vote asks whether the vote would be granted. Its term is the
    one that the candidate would start, and it does not change the
    state of the voter.

    ``probe_round`` numbers the candidate's pre-votes. ``is_vacant``
    states that every member has answered that pre-vote with
    ``holds_no_lease``.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_probe: bool
    store_id: str
    probe_round: int = 0
    is_vacant: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a vote request.

    ``term`` is the requested term if the vote is granted, and the
    voter's current term otherwise. ``holds_no_lease`` states that the
    voter is no leader, has heard from none since its start, and would
    grant the vote but for that start. ``probe_round`` is that of the
    request.
    """

    term: int
    voter: str
    is_granted: bool
    is_probe: bool
    store_id: str
    probe_round: int = 0
    holds_no_lease: bool = False
