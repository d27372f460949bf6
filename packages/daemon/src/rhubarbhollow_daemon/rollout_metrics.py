"""Metric samples of rollouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_daemon.metric_sample import MetricSample

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_rollout.node import NodeRollouts


def collect_node_rollouts(rollouts: NodeRollouts) -> Iterator[MetricSample]:
    """Yield the samples of each rollout that this node knows."""
    for view in rollouts.views:
        labels = {"service": view.service, "new_version": view.new_version}
        yield MetricSample(
            "rollout_state",
            "Latest rollout of a service: 1 running, 2 completed, 3 rolled"
            " back.",
            view.state,
            labels,
        )
        yield MetricSample(
            "rollout_share_permille",
            "Share of calls that this node may send to the new version.",
            view.share_permille,
            labels,
        )
        yield MetricSample(
            "rollout_confirmed",
            "Whether this node has a recent confirmation and may send it.",
            int(rollouts.is_confirmed(view.service)),
            labels,
        )


def collect_control_rollouts(parts: ControlParts) -> Iterator[MetricSample]:
    """Yield a control instance's samples, once there was an order."""
    rollouts = parts.machine.rollouts
    if not rollouts.revision:
        return
    yield MetricSample(
        "rollouts_running",
        "Rollouts without an outcome.",
        len(rollouts.running),
    )
    for record in rollouts.running:
        counts = parts.rollouts.count_evidence(record.number)
        for version in ("stable", "new"):
            for result in ("calls", "failed", "broken", "slow"):
                yield MetricSample(
                    "rollout_evidence_total",
                    "Attempts reported by the nodes of this instance, by"
                    " version; calls contains the others.",
                    counts[f"{version}_{result}"],
                    {
                        "service": record.service,
                        "version": version,
                        "result": result,
                    },
                )
