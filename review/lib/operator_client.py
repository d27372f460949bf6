"""The operator's stand-in: sends configurations and reads them back."""

from __future__ import annotations

import asyncio
import json
import random
import time

from http_client import Answer, request
from mesh import CONTROL_PORT, READY_PORT

PATH = "/rhubarbhollow/configuration"
HOST = "desk.example"
OK = 200
FIRST_ANSWERS_S = 30.0


def build_configuration(version: int, service: str, rules: list[dict]) -> dict:
    """Return a configuration with the given rules of one host."""
    return {
        "Version": f"{version:08x}",
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutS": 3,
            "IdleTimeoutS": 15,
        },
        "Listeners": [{"Host": HOST, "RuleTables": rules}],
        "Clusters": [
            {
                "Name": service,
                "HealthPath": "/health",
                "ConnectionLimit": 120,
                "Protocol": "h1",
                "Tls": False,
            }
        ],
    }


def build_rule(
    name: str, service: str, kind: str, objective_s: float, timeout_s: float
) -> dict:
    """Return a rule whose prefix is its name."""
    return {
        "Name": name,
        "Kind": kind,
        "LatencyObjectiveS": objective_s,
        "Priority": 0,
        "Match": {"PathPrefix": f"/{name}/"},
        "Action": {
            "Service": service,
            "TimeoutS": timeout_s,
            "MaxAttempts": 2,
        },
    }


async def put(host: str, document: dict, base: int) -> Answer:
    """Send a configuration to one node."""
    fields = (
        ("If-Match", f"{base:08x}"),
        ("Content-Type", "application/json"),
    )
    body = json.dumps(document).encode()
    return await request("PUT", host, CONTROL_PORT, PATH, body, fields)


async def order(hosts: list[str], document: dict, base: int) -> None:
    """Send a configuration, to any node, until it is acknowledged."""
    until = time.monotonic() + FIRST_ANSWERS_S
    while time.monotonic() < until:
        answer = await put(random.choice(hosts), document, base)  # noqa: S311 - no secret
        if answer.status == 200:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("no node acknowledged the configuration")


async def wait_ready(host: str) -> None:
    """Wait until a node says that it is ready."""
    until = time.monotonic() + FIRST_ANSWERS_S
    while time.monotonic() < until:
        path = "/rhubarbhollow/readiness"
        answer = await request("GET", host, READY_PORT, path)
        if answer.status == 200:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"{host} did not become ready")
