"""Routing, limits, retries and framing of calls."""
