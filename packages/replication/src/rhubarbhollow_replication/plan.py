"""Planning of membership changes as pure functions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from rhubarbhollow_replication.fault import (
    AlreadyMember,
    ChangeFault,
    IsLeader,
    NotCaughtUp,
    QuorumAtRisk,
    UnknownMember,
)
from rhubarbhollow_replication.member import (
    UNBOUND_STORE_ID,
    Member,
    MemberRole,
)
from rhubarbhollow_replication.membership_change import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)

if TYPE_CHECKING:
    from rhubarbhollow_replication.configuration import Configuration
    from rhubarbhollow_replication.membership_view import MembershipView


def plan_repair(view: MembershipView) -> Configuration | None:
    """Return the configuration that repairs the membership, if any.

    A lost store is repaired first, since its voter does not count
    toward a quorum, and then a missing voter. An unresponsive voter is
    replaced in two steps: a caught-up learner is promoted in addition
    to it, and then the voter is demoted. While both are voters, the old
    one still counts toward a quorum if it returns, even if another
    member is lost meanwhile. If it were demoted first, it would not.
    The same two steps replace a voter that is about to stop, which may
    be the leader, and spread the voters over the places.
    """
    if not view.wanted_voters:
        return _rebind_lost_store(view)
    is_one_more_wanted = _has_departing_voter(view) or _is_crowded(view)
    wanted = view.wanted_voters + is_one_more_wanted
    return (
        _rebind_lost_store(view)
        or _promote_missing_voter(view, wanted)
        or _demote_surplus_voter(view)
    )


def plan_request(
    view: MembershipView, change: MembershipChange
) -> Result[Configuration, ChangeFault]:
    """Return the configuration that results from a change request."""
    member = view.configuration.find(change.name)
    match change:
        case AddLearner(name):
            if member is not None:
                return Err(AlreadyMember(name))
            learner = Member(name, UNBOUND_STORE_ID, MemberRole.LEARNER)
            return Ok(view.configuration.with_member(learner))
        case PromoteLearner(name):
            return _plan_promotion(view, name, member)
        case RemoveMember(name):
            return _plan_removal(view, name, member)


def _plan_promotion(
    view: MembershipView, name: str, member: Member | None
) -> Result[Configuration, ChangeFault]:
    if member is None:
        return Err(UnknownMember(name))
    if member.is_voter:
        return Err(AlreadyMember(name))
    if not view.is_caught_up(member):
        return Err(NotCaughtUp(name))
    proposed = view.configuration.with_member(_as_voter(member))
    if not view.is_quorum_alive(proposed):
        return Err(QuorumAtRisk())
    return Ok(proposed)


def _plan_removal(
    view: MembershipView, name: str, member: Member | None
) -> Result[Configuration, ChangeFault]:
    if member is None:
        return Err(UnknownMember(name))
    if name == view.leader:
        return Err(IsLeader(name))
    proposed = view.configuration.without_member(name)
    if not view.is_quorum_alive(proposed):
        return Err(QuorumAtRisk())
    return Ok(proposed)


def _rebind_lost_store(view: MembershipView) -> Configuration | None:
    for member in view.configuration.members:
        if member.name == view.leader or not view.has_other_store(member):
            continue
        store_id = view.peers[member.name].store_id
        learner = Member(member.name, store_id, MemberRole.LEARNER)
        proposed = view.configuration.with_member(learner)
        if view.is_quorum_alive(proposed):
            return proposed
    return None


def _has_departing_voter(view: MembershipView) -> bool:
    return any(view.is_departing(v) for v in view.configuration.voters)


def _is_crowded(view: MembershipView) -> bool:
    """Return whether a learner's place has two voters less.

    Nothing is moved while a voter is silent.
    """
    voters = view.configuration.voters
    if not all(view.is_alive(voter) for voter in voters):
        return False
    crowd = max(
        (view.count_neighbours(v) for v in voters if v.name != view.leader),
        default=0,
    )
    return any(
        view.count_neighbours(learner) < crowd
        for learner in _list_caught_up(view)
        if view.place_of(learner.name)
    )


def _list_caught_up(view: MembershipView) -> list[Member]:
    """Return the learners to promote, from the emptiest place first."""
    learners = (
        member
        for member in view.configuration.members
        if not member.is_voter and view.is_caught_up(member)
    )
    return sorted(learners, key=view.count_neighbours)


def _promote_missing_voter(
    view: MembershipView, wanted: int
) -> Configuration | None:
    if len(view.configuration.voters) >= wanted:
        return None
    for member in _list_caught_up(view):
        proposed = view.configuration.with_member(_as_voter(member))
        if view.is_quorum_alive(proposed):
            return proposed
    return None


def _demote_surplus_voter(view: MembershipView) -> Configuration | None:
    """Demote a voter if one is surplus.

    It is the silent one with the oldest contact, or else one that is
    about to stop, or else one from the most crowded place. A leader is
    demoted only if it is about to stop.
    """
    voters = view.configuration.voters
    if len(voters) <= view.wanted_voters:
        return None
    candidates = (
        voter
        for voter in voters
        if voter.name in view.peers or voter.name in view.leaving
    )

    def rank(voter: Member) -> tuple[bool, bool, int, float]:
        is_alive = view.is_alive(voter)
        is_staying = voter.name not in view.leaving
        crowd = view.count_neighbours(voter) if is_alive else 0
        return is_alive, is_staying, -crowd, view.last_contact_at(voter)

    surplus = min(candidates, key=rank)
    learner = Member(surplus.name, surplus.store_id, MemberRole.LEARNER)
    proposed = view.configuration.with_member(learner)
    return proposed if view.is_quorum_alive(proposed) else None


def _as_voter(member: Member) -> Member:
    return Member(member.name, member.store_id, MemberRole.VOTER)
