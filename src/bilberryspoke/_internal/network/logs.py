"""Structured logs: one JSON line for each decision or change of state."""

import structlog

from bilberryspoke._internal.network.decisionlog import open_standard_output


def configure_logs(vm: str) -> None:
    """Write JSON lines with the VM's name to standard output."""
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
