"""What is spoken of: pushed jobs, tasks, queue settings, workers, contracts of messages."""
