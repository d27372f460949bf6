"""The quorum log, its durable store and its membership."""
