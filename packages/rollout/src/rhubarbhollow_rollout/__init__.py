"""Gradual rollouts of a service's version."""
