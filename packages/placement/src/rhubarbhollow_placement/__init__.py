"""Choice of an upstream by its speed and load."""
