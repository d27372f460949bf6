"""Logging to the standard error."""

from __future__ import annotations

import logging
import sys

import structlog


def configure_logs(*, is_verbose: bool) -> None:
    """Configure logging with a line of key=value pairs per event."""
    level = logging.DEBUG if is_verbose else logging.WARNING
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=("timestamp", "level", "event"),
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
