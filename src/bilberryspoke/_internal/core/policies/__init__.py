"""Sharing policies: how an entry VM obtains a slot of an upstream."""
