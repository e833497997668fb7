"""Decisions on routed calls: upstream choice, waiting, retries, refusals."""
