"""Small signed releases, cached and shared by the tests."""

from __future__ import annotations

from functools import cache

from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)

from rhubarbhollow_distribution.feed_settings import FeedSettings
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_distribution.holder import ReleaseHolder
from rhubarbhollow_distribution.ledger_view import LedgerView
from rhubarbhollow_distribution.stage_encoding import build_stage
from rhubarbhollow_release.approval import sign_approval
from rhubarbhollow_release.difference import EMPTY_DIGEST
from rhubarbhollow_release.key_id import key_id_of
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.resource_set import split_manifest
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.service import Service

MESH = "mesh"
KEY = Ed25519PrivateKey.from_private_bytes(bytes(32))
TRUSTED = {key_id_of(KEY.public_key()): KEY.public_key()}
SERVICES = tuple(Service(name=f"service-{number}") for number in range(20))
QUICK = FeedSettings(coalescing_seconds=0.0, heartbeat_seconds=1.0)


def route_at(version, service="service-0"):
    return Route(
        name="route",
        host="*",
        prefix=f"/{version}",
        service=service,
        timeout_ms=1000,
    )


@cache
def resources_at(version, service="service-0"):
    return split_manifest(
        Manifest(
            format=1,
            mesh=MESH,
            version=version,
            services=SERVICES,
            routes=(route_at(version, service),),
        )
    )


@cache
def approval_at(version, service="service-0", mesh=MESH, key=KEY):
    digest = resources_at(version, service).digest
    return sign_approval(key, mesh, version, digest)


@cache
def stage_at(position, base=0, service="service-0"):
    """Return a stage message of the release of version ``position``."""
    return build_stage(
        position,
        approval_at(position, service),
        resources_at(position, service),
        resources_at(base) if base else None,
    )


class Releases:
    """Provide the releases up to ``latest``, as a ledger does."""

    def __init__(self, latest=0):
        self.latest = latest
        self.built = []

    def maybe_digest(self, position):
        if 1 <= position <= self.latest:
            return resources_at(position).digest
        return None

    def build_stage(self, position, base_digest):
        assert position <= self.latest
        base = next(
            (
                number
                for number in range(1, self.latest + 1)
                if resources_at(number).digest == base_digest
            ),
            0,
        )
        self.built.append((base, position))
        return stage_at(position, base)


def holder_at(clock, *positions, active=0):
    holder = ReleaseHolder(MESH, TRUSTED, clock)
    for position in positions:
        holder.stage(stage_at(position)).unwrap()
    if active:
        holder.activate(active, resources_at(active).digest).unwrap()
    return holder


def hello_of(holder=None, *, table=None, node="node", **changes):
    fields = {
        "mesh": MESH,
        "node": node,
        "data_centre": "ilala",
        "incarnation": 1,
        "active_position": holder.active_position if holder else 0,
        "active_digest": holder.active_digest if holder else EMPTY_DIGEST,
        "staged_position": holder.staged_position if holder else 0,
        "endpoints_source": table.source if table else "",
        "endpoints_version": table.version if table else 0,
    }
    return Hello(**{**fields, **changes})


def view_at(latest, active, **changes):
    fields = {
        "is_fresh": True,
        "confirmed_at": 1e9,
        "recorded_floor": latest,
        **changes,
    }
    return LedgerView(latest, active, **fields)
