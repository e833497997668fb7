"""Demonstration: a fleet of real processes under mixed traffic."""
