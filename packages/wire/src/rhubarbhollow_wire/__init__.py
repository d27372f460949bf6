"""Thrift messages and framing between rhubarbhollow processes."""
