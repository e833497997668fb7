"""Adapter to the users' platform: its names, formats and protocols.

Decodes data of the platform into the project's own types, and makes no
routing decisions.
"""
