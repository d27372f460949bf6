"""Benchmarks of the call path, the call policy and distribution."""
