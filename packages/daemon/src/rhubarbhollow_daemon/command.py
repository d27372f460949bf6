"""The command line interface of ``rhubarbhollowd``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Final

import anyio
import click
import structlog
from result import Err

from rhubarbhollow_daemon.log_output import NonBlockingOutput
from rhubarbhollow_daemon.logs import configure_logs
from rhubarbhollow_daemon.process import run_process
from rhubarbhollow_daemon.settings_file import load_settings

EXIT_BAD_SETTINGS: Final = 2
EXIT_STORE_FAILED: Final = 4


@click.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(path_type=Path),
    help="Path of the YAML settings file of this instance.",
)
@click.option("--check", is_flag=True, help="Validate the settings and exit.")
@click.version_option(package_name="rhubarbhollow-daemon")
def run(config: Path, check: bool) -> None:
    """Run a process of the mesh: a node, a control instance or both.

    SIGTERM drains and stops the process; SIGINT during the drain stops
    it immediately.
    """
    loaded = load_settings(config)
    if isinstance(loaded, Err):
        for fault in loaded.err_value.faults:
            line = f"{config}: {fault.path}: {fault.kind.value} {fault.detail}"
            click.echo(line, err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        click.echo(f"{config}: valid")
        return
    settings = loaded.ok_value
    configure_logs(
        settings.logs.level,
        settings.instance.name,
        settings.instance.data_centre,
        NonBlockingOutput(sys.stderr.fileno()),
    )
    outcome = anyio.run(
        run_process,
        settings,
        backend_options={"use_uvloop": True},
    )
    if isinstance(outcome, Err):
        log = structlog.get_logger()
        log.error("process_failed", fault=repr(outcome.err_value))
        sys.exit(EXIT_STORE_FAILED)
