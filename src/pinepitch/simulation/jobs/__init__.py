"""The simulated fleet that runs jobs under leases: its parts, its fault scenarios, its checks."""
