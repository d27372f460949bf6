import copy

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)
from hypothesis import settings

from rhubarbhollow_release.key_id import key_id_of

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")

_DOCUMENT = {
    "format": 1,
    "mesh": "lab",
    "version": 7,
    "services": [
        {"name": "desk", "depends_on": ["bench"], "fallback": "desk-copy"},
        {"name": "desk-copy"},
        {
            "name": "bench",
            "objectives": {
                "availability": 0.999,
                "latency_ms": 50,
                "latency_ratio": 0.99,
            },
        },
    ],
    "routes": [
        {
            "name": "lookup",
            "host": "*",
            "prefix": "/returns",
            "service": "desk",
            "timeout_ms": 800,
            "retry_policy": "twice",
            "idempotent": True,
        },
        {
            "name": "histories",
            "host": "lab.example:8080",
            "prefix": "/histories",
            "service": "bench",
            "timeout_ms": 30000,
            "priority": "bulk",
        },
    ],
    "retry_policies": [{"name": "twice", "attempts": 2, "budget_ratio": 0.1}],
}


@pytest.fixture
def document():
    return copy.deepcopy(_DOCUMENT)


@pytest.fixture(scope="session")
def key():
    return Ed25519PrivateKey.from_private_bytes(bytes(32))


@pytest.fixture(scope="session")
def trusted(key):
    return {key_id_of(key.public_key()): key.public_key()}
