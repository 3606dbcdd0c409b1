"""Jobs under leases: what is agreed on about them, and what the leader decides."""
