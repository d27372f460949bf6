"""Tests with real processes that are killed, suspended and cut off."""
