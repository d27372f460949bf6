"""Tests that start, kill, freeze and cut real processes."""
