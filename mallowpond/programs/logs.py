"""Set up structured logs."""

import logging
import sys

import structlog

from mallowpond.settings import LogSettings


def log_level(settings: LogSettings) -> int:
    """Return the number of the level in the settings."""
    return getattr(logging, settings.level.upper())


def set_up_logs(settings: LogSettings) -> None:
    """Configure the format and level of all log lines; they go to standard error."""
    renderer = (
        structlog.dev.ConsoleRenderer(colors=False)
        if settings.format == "console"
        else structlog.processors.JSONRenderer()
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(log_level(settings)),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
