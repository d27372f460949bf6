"""Release staging, activation and endpoint tables."""
