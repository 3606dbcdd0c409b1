"""The replicated state machine, to which the committed operations of the log are applied."""
