"""Trials of one control machine that is out of contact for twenty seconds, still reached by callers."""
