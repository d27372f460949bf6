"""Stand-ins for what surrounds the system, for tests and trials."""
