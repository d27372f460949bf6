"""Signed releases for a measured fleet."""

from __future__ import annotations

import base64
import json
import zlib
from typing import TYPE_CHECKING, Any, Final

from rhubarbhollow_release.approval import sign_approval
from rhubarbhollow_release.approval_codec import encode_approval
from rhubarbhollow_release.keys import generate_key
from rhubarbhollow_release.parsing import parse_manifest
from rhubarbhollow_release.resource_set import split_manifest

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ed25519 import (
        Ed25519PrivateKey,
    )

MESH: Final = "measured-mesh"
SERVICES: Final = 230
ROUTES: Final = 1_000
BASE_TIMEOUT_MS: Final = 1_000


class ReleaseApprover:
    """Sign a sequence of releases; each one changes one route."""

    def __init__(self) -> None:
        self._key: Ed25519PrivateKey = generate_key()
        self._version = 0
        self._last_compressed_bytes = 0

    @property
    def last_compressed_bytes(self) -> int:
        """Return the compressed size of the full last release."""
        return self._last_compressed_bytes

    @property
    def public_key(self) -> str:
        """Return the public key as 64 hex digits."""
        return self._key.public_key().public_bytes_raw().hex()

    def approve_next(self) -> bytes:
        """Return the request body that submits the next release."""
        self._version += 1
        version = self._version
        document = json.dumps(build_manifest(version)).encode()
        resources = split_manifest(parse_manifest(document).unwrap())
        approval = sign_approval(self._key, MESH, version, resources.digest)
        body = {
            "manifest": base64.b64encode(document).decode(),
            "approval": json.loads(encode_approval(approval)),
        }
        self._last_compressed_bytes = len(
            zlib.compress(resources.canonical(), 9)
        )
        return json.dumps(body).encode()


def build_manifest(version: int) -> dict[str, Any]:
    """Return a manifest; each version changes one route's timeout.

    The changes of all earlier versions are part of it.
    """
    routes = [_build_route(number) for number in range(ROUTES)]
    for earlier in range(1, version + 1):
        routes[earlier % ROUTES]["timeout_ms"] = BASE_TIMEOUT_MS + earlier
    return {
        "format": 1,
        "mesh": MESH,
        "version": version,
        "services": [_build_service(number) for number in range(SERVICES)],
        "routes": routes,
        "retry_policies": [
            {"name": "once-more", "attempts": 2, "budget_ratio": 0.1}
        ],
    }


def service_name(number: int) -> str:
    """Return the name of a service of the manifest."""
    return f"service-{number % SERVICES:03d}"


def _build_service(number: int) -> dict[str, Any]:
    # Dependencies point to later services only, which rules out cycles.
    later = (number + 1, number + 7)
    return {
        "name": service_name(number),
        "depends_on": [
            service_name(index) for index in later if index < SERVICES
        ],
        "objectives": {
            "availability": 0.999,
            "latency_ms": 50,
            "latency_ratio": 0.99,
        },
    }


def _build_route(number: int) -> dict[str, Any]:
    return {
        "name": f"route-{number:04d}",
        "host": "*",
        "prefix": f"/{service_name(number)}/{number // SERVICES}",
        "service": service_name(number),
        "timeout_ms": BASE_TIMEOUT_MS,
        "retry_policy": "once-more",
        "idempotent": True,
    }
