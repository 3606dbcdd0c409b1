"""Simulator, stand-ins, fault scenarios, injected faults, history checks and the model checker."""
