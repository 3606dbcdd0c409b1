"""The replicated state machine: what the committed operations of the log add up to."""
