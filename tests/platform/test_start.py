"""Modules that a process imports; callers wait for its startup."""

import subprocess
import sys

import pytest

NODE = (
    "rhubarbhollow_daemon.node_building",
    "rhubarbhollow_platform.sidecar_extension",
)
CONTROL = (
    "rhubarbhollow_daemon.control_building",
    "rhubarbhollow_daemon.control_tasks",
    "rhubarbhollow_platform.core_extension",
)
# only the product's own interface needs these, for manifests, settings
# files and signatures
UNUSED = ("jsonschema", "yaml", "cryptography")
# Only the requests of operators and calls with a key need these.
ON_DEMAND = (
    "aioprometheus",
    "importlib.metadata",
    "rhubarbhollow_calls.claim",
    "rhubarbhollow_calls.claim_codec",
    "rhubarbhollow_calls.io_keyed",
    "rhubarbhollow_daemon.explain_handlers",
    "rhubarbhollow_daemon.node_handlers",
    "rhubarbhollow_daemon.views",
)


@pytest.mark.parametrize(
    ("parts", "absent"),
    [
        (
            NODE,
            (
                *UNUSED,
                *ON_DEMAND,
                *CONTROL,
                "rhubarbhollow_daemon.messages",
                "rhubarbhollow_replication",
            ),
        ),
        (CONTROL, (*UNUSED, *NODE, "rhubarbhollow_calls.io_node")),
    ],
)
def test_a_process_loads_only_what_its_part_needs(parts, absent):
    """An import of another part's modules would delay each startup."""
    imports = ", ".join(("sys", "rhubarbhollow_platform.program", *parts))
    loaded = subprocess.run(
        [sys.executable, "-c", f"import {imports}; print(*sys.modules)"],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()
    assert set(parts) <= set(loaded)
    assert set(absent).isdisjoint(loaded)


def test_a_node_listens_for_callers_before_it_loads_the_program():
    """Guard against callers that are refused for most of a start."""
    loaded = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, rhubarbhollow_platform.startup; print(*sys.modules)",
        ],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()
    absent = {"asyncio", "anyio", "structlog", "uvicorn"}
    assert absent.isdisjoint(loaded)
    assert "rhubarbhollow_daemon.process" not in loaded
