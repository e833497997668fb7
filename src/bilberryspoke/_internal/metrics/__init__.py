"""Counters and latency histograms."""
