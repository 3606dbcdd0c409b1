"""Runs a daemon: sockets, disks, clocks and signals around a state machine that does no I/O."""
