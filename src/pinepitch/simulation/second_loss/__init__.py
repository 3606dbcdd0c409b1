"""Trials in which a second machine is lost around the replacement of a voter.

A trial is replayed by its name and seed. Unless its docstring says otherwise, a trial never loses more
machines at once than a fleet of its size tolerates, and service must continue. Where it loses more, no
acknowledged change may be lost, and service must resume once the lost machines are back.
"""
