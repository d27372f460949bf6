"""Operator and approver of the demonstration on the command line."""

from __future__ import annotations

import subprocess
from typing import TYPE_CHECKING, Any, Final

import yaml

from tools.local_mesh import BIN, REPOSITORY, MeshFailureError

if TYPE_CHECKING:
    from pathlib import Path

    from tools.local_mesh import Instance

MANIFEST: Final = REPOSITORY / "examples" / "authority-manifest.yaml"
FIRST_TIMEOUT_MS: Final = 1_000
NETWORK_COMMANDS: Final = frozenset({"submit", "withdraw", "status", "nodes"})


class DemoOperator:
    """Run the commands of an operator and print them."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._servers: tuple[str, ...] = ()

    def use(self, controls: list[Instance]) -> None:
        """Send network commands to these control instances."""
        self._servers = tuple(control.admin for control in controls)

    def run(self, *arguments: str, expect: int = 0) -> str:
        """Run a command and return its output.

        Raise ``MeshFailureError`` if its exit code is not ``expect``.
        """
        servers: list[str] = []
        if arguments[0] in NETWORK_COMMANDS:
            for server in self._servers:
                servers += ["--server", server]
        result = subprocess.run(
            [str(BIN / "rhubarbhollow"), *arguments, *servers],
            capture_output=True,
            text=True,
            check=False,
        )
        print(f"   $ rhubarbhollow {' '.join(arguments)}")
        if result.returncode != expect:
            raise MeshFailureError(
                f"{arguments[0]}: expected exit code {expect}, got "
                f"{result.returncode}: "
                f"{result.stdout}{result.stderr}"
            )
        return result.stdout + result.stderr

    def write_manifest(self, version: int, name: str) -> None:
        """Write the example manifest with one changed route."""
        document: dict[str, Any] = yaml.safe_load(MANIFEST.read_text())
        document["version"] = version
        document["routes"][0]["timeout_ms"] = FIRST_TIMEOUT_MS + version
        text = yaml.safe_dump(document)
        (self._folder / f"{name}.yaml").write_text(text)

    def approve(self, name: str, key: str = "key") -> None:
        """Sign a manifest with the named key."""
        self.run(
            "approve",
            str(self._folder / f"{name}.yaml"),
            "--key",
            str(self._folder / key),
            "--out",
            str(self._folder / f"{name}.approval"),
        )

    def submit(self, name: str, expect: int = 0) -> str:
        """Submit a manifest with its approval."""
        return self.run(
            "submit",
            str(self._folder / f"{name}.yaml"),
            "--approval",
            str(self._folder / f"{name}.approval"),
            expect=expect,
        )
