"""An operator that holds the approval key, for process tests."""

from __future__ import annotations

import base64
import json
import urllib.error
import urllib.request

from rhubarbhollow_release.approval import sign_approval
from rhubarbhollow_release.approval_codec import encode_approval
from rhubarbhollow_release.keys import generate_key
from rhubarbhollow_release.parsing import parse_manifest
from rhubarbhollow_release.resource_set import split_manifest

MESH = "test-mesh"
CHAIN_ROUTE = {
    "name": "chain",
    "host": "*",
    "prefix": "/chain",
    "service": "test-bench",
    "timeout_ms": 10_000,
    "idempotent": True,
}


class Operator:
    """Sign manifests and submit them to control instances."""

    def __init__(self):
        self._key = generate_key()

    @property
    def public_key(self):
        """Return the public key as hex digits."""
        return self._key.public_key().public_bytes_raw().hex()

    def build_submission(
        self, version, *, timeout_ms=2000, chain=False, tenants=()
    ):
        """Return the request body that submits an approved manifest."""
        document = json.dumps(
            build_manifest(version, timeout_ms, chain, tenants)
        ).encode()
        resources = split_manifest(parse_manifest(document).unwrap())
        approval = sign_approval(self._key, MESH, version, resources.digest)
        return json.dumps(
            {
                "manifest": base64.b64encode(document).decode(),
                "approval": json.loads(encode_approval(approval)),
            }
        ).encode()

    def submit(self, instance, version, **options):
        """Submit a version; return the status and the JSON answer."""
        return post(instance, self.build_submission(version, **options))


def build_manifest(version, timeout_ms, chain, tenants=()):
    return {
        "format": 1,
        "mesh": MESH,
        "version": version,
        "services": [{"name": "test-bench"}],
        "routes": [
            {
                "name": "lookups",
                "host": "*",
                "prefix": "/benches",
                "service": "test-bench",
                "timeout_ms": timeout_ms,
                "retry_policy": "quick",
                "idempotent": True,
            },
            *([CHAIN_ROUTE] if chain else []),
            {
                "name": "orders",
                "host": "*",
                "prefix": "/orders",
                "service": "test-bench",
                "timeout_ms": timeout_ms,
            },
        ],
        "retry_policies": [
            {"name": "quick", "attempts": 3, "budget_ratio": 0.5}
        ],
        **({"tenants": list(tenants)} if tenants else {}),
    }


def post(instance, body, timeout_seconds=12.0):
    """Submit a request body; return the status and the JSON answer.

    Return ``(0, {})`` if the instance sends no response.
    """
    request = urllib.request.Request(
        f"{instance.admin}/v1/releases", data=body, method="POST"
    )
    try:
        with urllib.request.urlopen(
            request, timeout=timeout_seconds
        ) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)
    except OSError:
        return 0, {}
