"""Helpers that are independent of routing."""
