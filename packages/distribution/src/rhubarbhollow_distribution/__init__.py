"""Release distribution: staging, activation and endpoint tables."""
