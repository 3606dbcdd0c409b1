"""Model checks of consensus: the real deciders under every schedule of a small fleet."""
