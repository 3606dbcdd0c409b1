"""Runs a daemon: sockets, disks, clocks and signals around a core that does no I/O."""
