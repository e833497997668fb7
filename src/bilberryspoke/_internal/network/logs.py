"""Structured logging: one JSON line for each decision or state change."""

import structlog

from bilberryspoke._internal.network.decisionlog import open_standard_output


def configure_logs(vm: str) -> None:
    """Configure structlog to write JSON lines to standard output.

    Each line has the VM's name. Sets standard output to non-blocking mode.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(open_standard_output()),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)
