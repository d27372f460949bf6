"""Drivers that run a mesh on this machine: demonstration and soak."""
