"""An operator and legal at the command line, for the demonstration."""

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
    """Run commands as an operator would, and print them."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._servers: tuple[str, ...] = ()

    def use(self, controls: list[Instance]) -> None:
        """Send commands to these control instances."""
        self._servers = tuple(control.admin for control in controls)

    def run(self, *arguments: str, expect: int = 0) -> str:
        """Run a command; fail if its exit code is not the expected."""
        servers: list[str] = []
        if arguments[0] in NETWORK_COMMANDS:
            for server in self._servers:
                servers += ["--server", server]
        done = subprocess.run(
            [str(BIN / "rhubarbhollow"), *arguments, *servers],
            capture_output=True,
            text=True,
            check=False,
        )
        print(f"   $ rhubarbhollow {' '.join(arguments)}")
        if done.returncode != expect:
            raise MeshFailureError(
                f"exit code {done.returncode}, not {expect}: "
                f"{done.stdout}{done.stderr}"
            )
        return done.stdout + done.stderr

    def write_manifest(self, version: int, name: str) -> None:
        """Write the example's manifest with one route changed."""
        document: dict[str, Any] = yaml.safe_load(MANIFEST.read_text())
        document["version"] = version
        document["routes"][0]["timeout_ms"] = FIRST_TIMEOUT_MS + version
        text = yaml.safe_dump(document)
        (self._folder / f"{name}.yaml").write_text(text)

    def approve(self, name: str, key: str = "key") -> None:
        """Sign a manifest with one of the keys."""
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
