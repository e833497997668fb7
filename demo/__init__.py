"""Demonstration: a fleet of plain processes and mixed traffic."""
