"""The daemon process: a mesh node, a control instance, or both."""
