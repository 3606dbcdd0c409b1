"""The simulated fleet that runs jobs under holds: its parts, its fault scenarios, its checks."""
