"""The data model: pushed jobs, tasks, queue settings, workers, and contracts of messages."""
