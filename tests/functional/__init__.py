"""Tests: functional."""
