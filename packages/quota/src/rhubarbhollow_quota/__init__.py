"""Rate quotas shared by all nodes."""
