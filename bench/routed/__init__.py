"""Decisions on routed calls on a virtual clock, beside simple baselines."""
