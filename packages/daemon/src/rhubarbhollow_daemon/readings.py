"""The readings of every component, for metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_daemon.reading import Reading

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from rhubarbhollow_calls.io_counters import RouteCounters
    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_daemon.node_parts import NodeParts
    from rhubarbhollow_wire.traffic import Traffic


def read_node(parts: NodeParts) -> Iterator[Reading]:
    """Return what every node measures."""
    holder = parts.state.holder
    call_node = parts.call_node
    yield Reading(
        "active_position",
        "Position of the release in force on this node.",
        holder.active_position,
    )
    yield Reading(
        "staged_position",
        "Highest position that this node holds.",
        holder.staged_position,
    )
    yield Reading(
        "source_connected",
        "Whether a control instance has welcomed this node.",
        int(parts.session.is_connected),
    )
    yield Reading(
        "calls_in_flight",
        "Calls that are in flight on both ports.",
        call_node.in_flight,
    )
    yield Reading(
        "calls_malformed_total",
        "Calls whose framing was refused.",
        call_node.counters.malformed,
    )
    yield Reading(
        "calls_unrouted_total",
        "Calls that no route matched.",
        call_node.counters.unrouted,
    )
    for state in call_node.route_states:
        yield from _read_route(state.route.name, state.counters)
    yield from read_traffic("node", parts.traffic)


def read_control(
    parts: ControlParts,
    traffic: Mapping[str, Traffic],
) -> Iterator[Reading]:
    """Return what a control instance measures."""
    status = parts.replica.status
    yield Reading(
        "log_commit_index",
        "Highest committed index of the quorum log.",
        status.commit_index,
    )
    yield Reading("log_term", "Term of the quorum log.", status.term)
    yield Reading(
        "control_fresh",
        "Whether a quorum confirmed this instance within its lease.",
        int(status.is_fresh),
    )
    yield Reading(
        "control_nodes",
        "Nodes that are connected here.",
        len(parts.register.entries),
    )
    for kind, counted in traffic.items():
        yield from read_traffic(kind, counted)


def read_traffic(kind: str, traffic: Traffic) -> Iterable[Reading]:
    """Return the control bytes of one kind of connection."""
    for direction, value in (
        ("in", traffic.bytes_in),
        ("out", traffic.bytes_out),
    ):
        yield Reading(
            "control_bytes_total",
            "Bytes on connections between our own processes.",
            value,
            {"kind": kind, "direction": direction},
        )


def _read_route(name: str, counters: RouteCounters) -> Iterable[Reading]:
    """Return what has been counted; most routes are idle on a node.

    A series for each outcome of each route would take more memory than
    everything else that a node holds.
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
            yield Reading(
                "calls_total",
                "Calls by route and outcome, once there was one.",
                value,
                {"route": name, "outcome": outcome},
            )
    if counters.retries:
        yield Reading(
            "call_retries_total",
            "Calls that were sent again, once one was.",
            counters.retries,
            {"route": name},
        )
