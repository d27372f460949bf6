"""Tenants of a mesh and their keys."""
