"""Benchmarks of the call path."""
