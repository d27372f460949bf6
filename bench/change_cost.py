"""Processor time of one configuration change on leader and node.

Run as ``python -m bench change-cost``. Each change alters one route of
a large configuration, or a key of one tenant if it has tenants; the
figure of a step is the lowest processor time over all changes.
"""

from __future__ import annotations

import json
import time
from random import Random
from typing import TYPE_CHECKING, Final, TypeVar

from rhubarbhollow_calls.io_node import CallNode
from rhubarbhollow_calls.io_position import PositionCheck
from rhubarbhollow_calls.upstream_selector import UpstreamSelector
from rhubarbhollow_daemon.route_building import SnapshotBuilder
from rhubarbhollow_distribution.release_verification import verify_release
from rhubarbhollow_distribution.stage_encoding import build_stage
from rhubarbhollow_platform.configuration_format import ConfigurationFormat
from rhubarbhollow_release.approval import approve_by_channel
from rhubarbhollow_release.command import decode_command, encode_command
from rhubarbhollow_release.ledger import ReleaseLedger
from rhubarbhollow_release.operator_channel import (
    CHANNEL_KEY_ID,
    OperatorChannel,
)
from rhubarbhollow_wire.clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from rhubarbhollow_distribution.held_release import HeldRelease

T = TypeVar("T")

MESH: Final = "bench"
ROUTES: Final = 2_400
CHANGES: Final = 10
MS_PER_SECOND: Final = 1000
LOOKUPS: Final = 1_000
TRUSTED_KEYS: Final = {CHANNEL_KEY_ID: OperatorChannel()}


class _StepTimer:
    """Record the lowest processor time of each step."""

    def __init__(self) -> None:
        self.best_ms: dict[str, float] = {}

    def run(self, step: str, function: Callable[..., T], *args: object) -> T:
        """Run and time a step; return its result."""
        started = time.process_time()
        result = function(*args)
        spent_ms = (time.process_time() - started) * MS_PER_SECOND
        self.best_ms[step] = min(self.best_ms.get(step, spent_ms), spent_ms)
        return result


def run_change_cost(tenants: int = 0) -> dict[str, float]:
    """Return the processor time of each step in milliseconds."""
    format_ = ConfigurationFormat(MESH)
    ledger = ReleaseLedger(MESH, TRUSTED_KEYS)
    previous: HeldRelease | None = None
    builder = SnapshotBuilder()
    node = _build_node()
    timer = _StepTimer()
    for version in range(1, CHANGES + 1):
        document = _build_document(version, tenants)
        previous = _apply_change(document, format_, ledger, previous, timer)
        snapshot = timer.run("node: route table", builder.build, previous)
        timer.run("node: install", node.install, snapshot)
        if version == 1:
            # Nothing is cached for the first release, so that every
            # resource is decoded.
            timer.best_ms.clear()
    best = timer.best_ms
    if tenants:
        identify = snapshot.tenants.identify
        timer.run(
            f"node: {LOOKUPS} keys",
            lambda: [identify(b"key-1-0") for _ in range(LOOKUPS)],
        )
    node_ms = sum(
        spent for step, spent in best.items() if step.startswith("node")
    )
    leader_ms = sum(best.values()) - node_ms
    return {**best, "leader in all": leader_ms, "node in all": node_ms}


def _build_node() -> CallNode:
    clock = SystemClock()
    selector = UpstreamSelector("here", clock, Random(1))
    return CallNode(
        "node", "here", selector, clock, lambda *_: PositionCheck.BEHIND
    )


def _apply_change(
    document: bytes,
    format_: ConfigurationFormat,
    ledger: ReleaseLedger,
    previous: HeldRelease | None,
    timer: _StepTimer,
) -> HeldRelease:
    target = timer.run("decode", format_.read, document).unwrap()
    version = target.header.version
    digest = timer.run("digest", lambda: target.digest)
    approval = approve_by_channel(MESH, version, digest)
    planned = timer.run("plan", ledger.plan_resources, target, approval)
    entry = encode_command(planned.unwrap())
    timer.run("apply", lambda: ledger.apply(decode_command(entry).unwrap()))
    position = ledger.latest_position
    base = previous.resources if previous else None
    stage = timer.run("stage", build_stage, position, approval, target, base)
    opened = timer.run(
        "node: verify", verify_release, stage, previous, MESH, TRUSTED_KEYS
    )
    return opened.unwrap()


def _build_document(version: int, tenants: int) -> bytes:
    rules = [
        _build_rule(n, version if n == version and not tenants else 0)
        for n in range(ROUTES)
    ]
    members = {
        "Tenants": [
            _build_tenant(n, version if n == version else 0)
            for n in range(tenants)
        ]
    }
    return json.dumps(
        {
            **(members if tenants else {}),
            "Version": f"{version:08x}",
            "Limits": {"MaxHeaderBytes": 16384, "IdleTimeoutS": 15},
            "Listeners": [{"Host": "h.example", "RuleTables": rules}],
            "Clusters": [{"Name": "desk"}, {"Name": "bench"}],
        },
        separators=(",", ":"),
    ).encode()


def _build_tenant(number: int, change: int) -> dict[str, object]:
    return {
        "Name": f"tenant-{number}",
        "ApiKeys": [f"key-{number}-{change}", f"other-{number}"],
        "Priority": number % 2,
        "RatePerS": 5 + number,
        "Burst": 5 + number,
    }


def _build_rule(number: int, change: int) -> dict[str, object]:
    return {
        "Name": f"r-{number:07x}",
        "Kind": "safe",
        "LatencyObjectiveS": 0.5,
        "Priority": 2,
        "Match": {"PathPrefix": f"/p{number:x}/"},
        "Action": {
            "Service": "desk" if number % 2 else "bench",
            "TimeoutS": 1.2 + change,
            "MaxAttempts": 2,
        },
    }
