"""Order and refusal of calls under overload."""
