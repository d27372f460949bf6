"""Routing, limits, retries, claims and HTTP framing of calls."""
