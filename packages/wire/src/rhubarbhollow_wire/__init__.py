"""Thrift messages, framing and clocks of rhubarbhollow processes."""
