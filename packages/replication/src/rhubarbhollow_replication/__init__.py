"""A replicated log with leader election, leases and a durable store."""
