"""An operator with legal's key, for tests over processes."""

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
CHAIN = {
    "name": "chain",
    "host": "*",
    "prefix": "/chain",
    "service": "test-bench",
    "timeout_ms": 10_000,
    "idempotent": True,
}


class Operator:
    def __init__(self):
        self._key = generate_key()

    @property
    def public_key(self):
        return self._key.public_key().public_bytes_raw().hex()

    def body(self, version, *, timeout_ms=2000, chain=False):
        """Return the request that submits an approved manifest."""
        document = json.dumps(manifest(version, timeout_ms, chain)).encode()
        resources = split_manifest(parse_manifest(document).unwrap())
        approval = sign_approval(self._key, MESH, version, resources.digest)
        return json.dumps(
            {
                "manifest": base64.b64encode(document).decode(),
                "approval": json.loads(encode_approval(approval)),
            }
        ).encode()

    def submit(self, instance, version, **options):
        return post(instance, self.body(version, **options))


def manifest(version, timeout_ms, chain):
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
            *([CHAIN] if chain else []),
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
    }


def post(instance, body, timeout_seconds=12.0):
    """Return the status and the JSON answer of a submission."""
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
