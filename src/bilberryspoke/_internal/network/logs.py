"""Structured logs: one JSON line for each change of state."""

import sys

import structlog


def configure_logs(vm: str) -> None:
    """Write JSON lines with the VM's name to standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)
