"""Leased jobs, which workers run under leases: their replicated state and how the leader schedules them."""
