"""Collection of metric samples from every component."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from rhubarbhollow_calls.io_counters import MAX_COUNTED_TENANTS
from rhubarbhollow_daemon.metric_sample import MetricSample
from rhubarbhollow_daemon.rollout_metrics import (
    collect_control_rollouts,
    collect_node_rollouts,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from rhubarbhollow_calls.io_counters import NodeCounters, RouteCounters
    from rhubarbhollow_calls.slot_admission import SlotRefusal
    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_daemon.node_parts import NodeParts
    from rhubarbhollow_daemon.node_quota import NodeQuota
    from rhubarbhollow_replication.status import ReplicaStatus
    from rhubarbhollow_wire.traffic import Traffic


def collect_node_metrics(parts: NodeParts) -> Iterator[MetricSample]:
    """Yield the samples of a node."""
    holder = parts.state.holder
    call_node = parts.call_node
    yield MetricSample(
        "active_position",
        "Position of the release in force on this node.",
        holder.active_position,
    )
    yield MetricSample(
        "staged_position",
        "Highest position that this node holds.",
        holder.staged_position,
    )
    yield MetricSample(
        "releases_not_applied_total",
        "Releases that could not be applied; the one before is in force.",
        parts.state.failed_releases,
    )
    yield MetricSample(
        "source_connected",
        "Whether a control instance has welcomed this node.",
        int(parts.session.is_connected),
    )
    yield MetricSample(
        "calls_in_flight",
        "Calls that are in flight on both ports.",
        call_node.in_flight,
    )
    yield MetricSample(
        "calls_malformed_total",
        "Calls whose framing was refused.",
        call_node.counters.malformed,
    )
    yield MetricSample(
        "calls_unrouted_total",
        "Calls that no route matched.",
        call_node.counters.unrouted,
    )
    yield from collect_key_metrics(call_node.counters)
    if call_node.local_port is not None:
        yield from _collect_rejections(call_node.local_port.rejections)
    for state in call_node.route_states:
        yield from _collect_route_metrics(state.route.name, state.counters)
    yield from collect_quota_metrics(parts.quota)
    yield from collect_node_rollouts(parts.rollouts.rollouts)
    yield from collect_traffic_metrics("node", parts.traffic)


def _collect_rejections(
    rejections: Mapping[tuple[SlotRefusal, int, int], int],
) -> Iterator[MetricSample]:
    """Yield the calls that the gate of the upstream turned away."""
    for (reason, tenant_priority, rank), value in rejections.items():
        yield MetricSample(
            "slot_rejections_total",
            "Calls that got no slot of the upstream beside this node.",
            value,
            {
                "reason": reason.value,
                "tenant_priority": str(tenant_priority),
                "rank": str(rank),
            },
        )


def collect_control_metrics(
    parts: ControlParts,
    traffic: Mapping[str, Traffic],
) -> Iterator[MetricSample]:
    """Yield the samples of a control instance.

    ``traffic`` holds its byte counts by kind of connection.
    """
    status = parts.replica.status
    yield MetricSample(
        "log_commit_index",
        "Highest committed index of the quorum log.",
        status.commit_index,
    )
    yield MetricSample("log_term", "Term of the quorum log.", status.term)
    yield MetricSample(
        "control_fresh",
        "Whether a quorum confirmed this instance within its lease.",
        int(status.is_fresh),
    )
    yield from _collect_voter_metrics(status)
    yield MetricSample(
        "control_nodes",
        "Nodes that are connected here.",
        len(parts.register.entries),
    )
    yield from collect_control_rollouts(parts)
    for kind, counted in traffic.items():
        yield from collect_traffic_metrics(kind, counted)


def _collect_voter_metrics(status: ReplicaStatus) -> Iterator[MetricSample]:
    """Yield how many voters the log has, and how many reply.

    Only the leader knows which voters reply.
    """
    voters = status.voters
    yield MetricSample("log_voters", "Voters of the quorum log.", len(voters))
    if status.is_leader:
        yield MetricSample(
            "log_voters_alive",
            "Voters that reply to this leader of the quorum log.",
            sum(voter.is_alive for voter in voters),
        )


def collect_traffic_metrics(
    kind: str, traffic: Traffic
) -> Iterable[MetricSample]:
    """Yield the control traffic of one kind of connection."""
    for direction, value in (
        ("in", traffic.bytes_in),
        ("out", traffic.bytes_out),
    ):
        yield MetricSample(
            "control_bytes_total",
            "Bytes on connections between our own processes.",
            value,
            {"kind": kind, "direction": direction},
        )
    for (message, is_remote), value in traffic.frame_bytes_out.items():
        yield MetricSample(
            "control_message_bytes_total",
            "Bytes of sent messages by type and by whether they left the"
            " data centre.",
            value,
            {
                "kind": kind,
                "message": message,
                "remote": "true" if is_remote else "false",
            },
        )


def collect_quota_metrics(quota: NodeQuota) -> Iterable[MetricSample]:
    """Yield the outcomes and the shares of tenants with a quota.

    Only tenants of the release in force that sent requests have an
    account, and no more than ``MAX_COUNTED_TENANTS`` are listed.
    """
    accounts = quota.gate.accounts.items()
    for tenant, account in islice(accounts, MAX_COUNTED_TENANTS):
        for outcome, value in (
            ("admitted", account.admitted),
            ("rejected", account.rejected),
            ("unconfirmed", account.unconfirmed),
        ):
            yield MetricSample(
                "quota_requests_total",
                "Requests of a tenant with a quota, by the decision on them.",
                value,
                {"tenant": tenant, "outcome": outcome},
            )
        yield MetricSample(
            "quota_share_per_second",
            "Rate that this node holds of a tenant's quota.",
            quota.share_of(account),
            {"tenant": tenant},
        )


def collect_key_metrics(counters: NodeCounters) -> Iterable[MetricSample]:
    """Yield how many calls were refused for their key."""
    for kind, value in counters.keys_refused.items():
        yield MetricSample(
            "calls_key_refused_total",
            "Calls refused for their key, by the kind of the refusal.",
            value,
            {"kind": kind.value},
        )
    for tenant, value in counters.keys_withdrawn.items():
        yield MetricSample(
            "calls_key_withdrawn_total",
            "Calls by tenant whose key was revoked on the way, once there"
            " was one.",
            value,
            {"tenant": tenant},
        )


def _collect_route_metrics(
    name: str, counters: RouteCounters
) -> Iterable[MetricSample]:
    """Yield the counters of a route that are not zero.

    Most routes are idle on a given node; a series for each outcome of
    each route would take more memory than the rest of the node's data.
    """
    outcomes = {
        "answered": counters.answered,
        "upstream_error": counters.upstream_errors,
        "refused_not_run": counters.refused_not_run,
        "refused_unknown": counters.refused_unknown,
        "replayed": counters.replayed,
        "aborted": counters.aborted,
        "cancelled": counters.cancelled,
    }
    for outcome, value in outcomes.items():
        if value:
            yield MetricSample(
                "calls_total",
                "Calls by route and outcome, once there was one.",
                value,
                {"route": name, "outcome": outcome},
            )
    if counters.retries:
        yield MetricSample(
            "call_retries_total",
            "Calls that were sent again, once one was.",
            counters.retries,
            {"route": name},
        )
