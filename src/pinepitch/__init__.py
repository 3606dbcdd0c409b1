"""pinepitch: a cluster scheduler for jobs, every placement agreed before it starts."""
