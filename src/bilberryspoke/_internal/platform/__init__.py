"""Adapter to the users' platform: its names, formats and calls, no decision.

What is read here is decoded once into the project's own types.
"""
