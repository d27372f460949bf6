"""Benchmark the release package on 230 services and 1,000 routes.

Each figure is the best time of ``ROUNDS`` rounds, in milliseconds.
"""

from __future__ import annotations

import json
import sys
import time
from typing import TYPE_CHECKING, Any, Final, TypeVar

import yaml

from rhubarbhollow_release.canonical import canonical_bytes, digest_of
from rhubarbhollow_release.difference import apply_difference, diff_resources
from rhubarbhollow_release.difference_codec import (
    decode_difference,
    encode_difference,
)
from rhubarbhollow_release.parsing import parse_manifest
from rhubarbhollow_release.resource_set import (
    ResourceSet,
    join_resources,
    split_manifest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rhubarbhollow_release.difference import Difference
    from rhubarbhollow_release.manifest import Manifest

ROUNDS: Final = 20
SERVICES: Final = 230
ROUTES: Final = 1000

T = TypeVar("T")


def measure(label: str, run: Callable[[], T]) -> T:
    """Print the best time of a function and return its result."""
    best = float("inf")
    for _ in range(ROUNDS):
        start = time.perf_counter()
        value = run()
        best = min(best, time.perf_counter() - start)
    print_line(f"{label}: {best * 1e3:.3f} ms")
    return value


def print_line(text: str) -> None:
    """Write a line to standard output."""
    sys.stdout.write(f"{text}\n")


def build_document(version: int, timeout_ms: int) -> dict[str, Any]:
    """Build a manifest document.

    ``timeout_ms`` is that of the middle route; all others have 1000 ms.
    """
    services = [
        {
            "name": f"service-{index}",
            "depends_on": [
                f"service-{other}" for other in range(max(0, index - 3), index)
            ],
            "objectives": {
                "availability": 0.999,
                "latency_ms": 50,
                "latency_ratio": 0.99,
            },
        }
        for index in range(SERVICES)
    ]
    routes = [
        {
            "name": f"route-{index}",
            "host": "*",
            "prefix": f"/area-{index % 7}/{index}",
            "service": f"service-{index % SERVICES}",
            "timeout_ms": timeout_ms if index == ROUTES // 2 else 1000,
            "retry_policy": "standard",
            "priority": "bulk" if index % 3 == 0 else "interactive",
            "idempotent": index % 2 == 0,
        }
        for index in range(ROUTES)
    ]
    policy = {"name": "standard", "attempts": 2, "budget_ratio": 0.1}
    return {
        "format": 1,
        "mesh": "lab",
        "version": version,
        "services": services,
        "routes": routes,
        "retry_policies": [policy],
    }


def main() -> None:
    """Measure each step from a document to an applied release."""
    base = measure_submission(build_document(1, 1000))
    changed = json.dumps(build_document(2, 1500)).encode()
    target = split_manifest(parse_manifest(changed).unwrap())
    # The resource sets cache their digests: computing them here keeps
    # them out of the time of the diff.
    measure("digests", lambda: (base.digest, target.digest))
    change = measure("diff", lambda: diff_resources(base, target))
    encoded = measure("encode", lambda: encode_difference(change))
    whole = encode_difference(diff_resources(None, target))
    print_line(f"change: {len(encoded)} bytes, whole: {len(whole)} bytes")
    measure_node(base, encoded)


def measure_submission(document: dict[str, Any]) -> ResourceSet:
    """Measure the steps of a control instance on a submission."""
    as_json = json.dumps(document).encode()
    as_yaml = yaml.safe_dump(document).encode()
    manifest: Manifest
    manifest = measure("parse JSON", lambda: parse_manifest(as_json)).unwrap()
    measure("parse YAML", lambda: parse_manifest(as_yaml))
    measure("canonical", lambda: digest_of(canonical_bytes(manifest)))
    resources = measure("split", lambda: split_manifest(manifest))
    canonical = measure("join of bodies", resources.canonical)
    measure(f"hash of {len(canonical)} bytes", lambda: digest_of(canonical))
    measure("first closure", lambda: join_resources(split_manifest(manifest)))
    return resources


def measure_node(base: ResourceSet, encoded: bytes) -> None:
    """Measure the steps of a node on a difference."""
    join_resources(base)

    def apply() -> ResourceSet:
        change: Difference = decode_difference(encoded).unwrap()
        return apply_difference(base, change).unwrap()

    measure("node: decode, apply, hash", apply)
    measure("node: the same and closure", lambda: join_resources(apply()))


if __name__ == "__main__":
    main()
