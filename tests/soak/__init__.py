"""Soak: a fleet of real processes under random disturbances.

``python -m tests.soak --help`` runs it by hand, at any size and seed.
"""
