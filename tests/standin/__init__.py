"""Stand-ins for upstreams, callers and other parts, for tests."""
