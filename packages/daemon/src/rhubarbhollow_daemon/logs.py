"""Structured logging: one logfmt line for each event."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, cast

import structlog

if TYPE_CHECKING:
    from typing import TextIO

    from rhubarbhollow_daemon.log_output import NonBlockingOutput


def configure_logs(
    level: str,
    instance: str,
    data_centre: str,
    output: TextIO | NonBlockingOutput | None = None,
) -> None:
    """Configure structlog to write events of ``level`` and above.

    They go to ``output``, by default standard error, and carry
    ``instance`` and ``data_centre``.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event", "instance"],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()],
        ),
        logger_factory=structlog.WriteLoggerFactory(
            file=cast("TextIO", output or sys.stderr)
        ),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(
        instance=instance,
        data_centre=data_centre,
    )
