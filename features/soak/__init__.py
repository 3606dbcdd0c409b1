"""Soak tests of real processes on this machine: the platform's programs, stand-in workers and clients over
real sockets, random faults that overlap, and the history checks of the simulated fleets.
"""
