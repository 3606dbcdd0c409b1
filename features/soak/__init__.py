"""A soak of real processes on this machine: the platform's programs, stand-in workers and callers
over real sockets, random troubles that overlap, and the history checks of the simulated fleets."""
