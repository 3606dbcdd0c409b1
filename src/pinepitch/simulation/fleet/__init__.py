"""Fleets of real processes on one machine: deployments, processes, traffic, faults, results."""
