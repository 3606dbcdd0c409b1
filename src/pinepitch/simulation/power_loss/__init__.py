"""Trials of power loss: the real store runs on simulated folders whose files may be torn or lost."""
