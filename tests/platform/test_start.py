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


@pytest.mark.parametrize(
    ("entry", "program"),
    [
        (
            "from rhubarbhollow_platform import __main__ as entry",
            "rhubarbhollow_platform.startup",
        ),
        (
            "from rhubarbhollow_daemon import main as entry",
            "rhubarbhollow_daemon.command",
        ),
    ],
)
def test_a_hangup_is_ignored_before_the_program_is_loaded(entry, program):
    """Guard against a signal that ends the process while it starts.

    The program reports what SIGHUP does when its first line runs.
    """
    script = f"""
import signal, sys
class Loaded:
    def find_spec(self, name, path=None, target=None):
        if name == {program!r}:
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
            sys.stdout.flush()
            sys.exit()
sys.meta_path.insert(0, Loaded())
{entry}
entry.main()
"""
    run = subprocess.run(
        [sys.executable, "-c", script],
        check=True,
        capture_output=True,
        text=True,
    )
    assert run.stdout.split() == ["True"]
