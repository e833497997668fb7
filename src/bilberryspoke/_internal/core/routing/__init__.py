"""Decisions on routed calls: placing, repeating, refusing, giving up."""
