"""The quorum log, its durable store and its membership."""

from rhubarbhollow_replication.change import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from rhubarbhollow_replication.fault import (
    ChangeFault,
    NotLeader,
    OutcomeUnknown,
    Overloaded,
    PayloadTooLarge,
    ProposeFault,
    StoreFailed,
)
from rhubarbhollow_replication.machine import StateMachine
from rhubarbhollow_replication.messages import PeerMessage
from rhubarbhollow_replication.replica import Replica
from rhubarbhollow_replication.role import Role
from rhubarbhollow_replication.settings import ReplicaSettings
from rhubarbhollow_replication.status import MemberStatus, ReplicaStatus
from rhubarbhollow_replication.store import LogStore, set_aside
from rhubarbhollow_replication.store_fault import CorruptRecord, StoreFault

__all__ = [
    "AddLearner",
    "ChangeFault",
    "CorruptRecord",
    "LogStore",
    "MemberStatus",
    "MembershipChange",
    "NotLeader",
    "OutcomeUnknown",
    "Overloaded",
    "PayloadTooLarge",
    "PeerMessage",
    "PromoteLearner",
    "ProposeFault",
    "RemoveMember",
    "Replica",
    "ReplicaSettings",
    "ReplicaStatus",
    "Role",
    "StateMachine",
    "StoreFailed",
    "StoreFault",
    "set_aside",
]
