"""The node and control instance process."""
