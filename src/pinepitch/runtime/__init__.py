"""Runs a daemon: sockets, disks, clocks and signals around a decider that does no I/O."""
