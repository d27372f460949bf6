"""Drivers that start the mesh on this machine."""
