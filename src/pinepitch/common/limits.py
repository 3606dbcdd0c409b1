"""How much memory, disk and descriptors a daemon may use, and the limits that follow from them."""

from typing import NamedTuple

from . import constants


class Limits(NamedTuple):
    """Bytes of memory and of disk. Invariants: the log and the tail retained before every snapshot base
    are a small part of either; tail <= laggard <= since_base <= log.
    """

    memory: int = constants.MEMORY
    disk: int = constants.DISK

    @property
    def log(self) -> int:
        """Most bytes of entries in the log, committed or not; above it callers' operations are deferred."""
        return max(
            constants.MIN_LOG_BYTES,
            min(self.memory // constants.LOG_PART_OF_MEMORY, self.disk // constants.LOG_PART_OF_DISK),
        )

    @property
    def image(self) -> int:
        """Bytes of a cluster state image from which operations that enlarge it are refused."""
        return max(
            constants.MIN_IMAGE_BYTES,
            min(self.memory // constants.IMAGE_PART_OF_MEMORY, self.disk // constants.IMAGE_PART_OF_DISK),
        )

    @property
    def state(self) -> int:
        """Bytes of memory that leased jobs may cost; a job that costs more than what is left is refused."""
        return max(constants.MIN_STATE_BYTES, int(self.memory * constants.STATE_PART_OF_MEMORY))

    def state_with(self, cost: int) -> int:
        """Bytes of memory that leased jobs may cost together with one that costs `cost`. Large jobs leave
        room for small ones.
        """
        return self.state if cost <= constants.SMALL_JOB_BYTES else int(self.state * constants.LARGE_PART)

    @property
    def state_with_runs(self) -> int:
        """Bytes of memory that leased jobs may cost for more of their tasks to be placed."""
        return self.state + int(self.memory * constants.RUNS_PART_OF_MEMORY)

    @property
    def since_base(self) -> int:
        """Bytes of entries applied since the last snapshot base after which a new one is due."""
        return self.log // 4

    @property
    def laggard(self) -> int:
        """Most bytes of entries retained before a snapshot base for a follower that still needs them."""
        return self.log // 4

    @property
    def tail(self) -> int:
        """Bytes of entries that are always retained before a snapshot base."""
        return self.log // 8

    @property
    def link(self) -> int:
        """Most bytes of frames that wait for one destination on one connection."""
        return max(constants.MIN_LINK_BYTES, self.memory // constants.LINK_PART)


USUAL = Limits()  # the default, for daemons whose settings state no limits


class CallerLimits(NamedTuple):
    """What the callers of all ports of a process may use together, derived from the bytes of memory and the
    descriptors of the process. Invariants: `request` < `large` < `held`; connections at rest and `held`
    together are at most half of the memory.
    """

    memory: int = constants.MEMORY
    descriptors: int = constants.DESCRIPTORS

    @property
    def held(self) -> int:
        """Most bytes held for requests: received in part, decoded, waiting, and answers not yet taken."""
        return self.memory // constants.CALLER_PART_OF_MEMORY

    @property
    def large(self) -> int:
        """Most bytes held in all when a request over SMALL_REQUEST_BYTES is taken."""
        return int(self.held * constants.LARGE_PART)

    @property
    def request(self) -> int:
        """Most bytes held for one request."""
        return int(self.held * constants.REQUEST_PART)

    @property
    def connections(self) -> int:
        """Most open connections."""
        connection_bytes = int(
            constants.IDLE_CONNECTION_BYTES + constants.RECEIVE_BUFFER * constants.RECEIVE_BUFFER_TIMES
        )
        by_memory = self.memory // constants.CONNECTION_PART_OF_MEMORY // connection_bytes
        by_descriptors = int(self._own_descriptors * constants.CALLER_PART_OF_DESCRIPTORS)
        return max(1, min(constants.MAX_CONNECTIONS, by_memory, by_descriptors))

    @property
    def closing(self) -> int:
        """Most connections that are being closed for others, beside those that are open."""
        return max(1, int(self._own_descriptors * constants.CLOSING_PART_OF_DESCRIPTORS))

    @property
    def _own_descriptors(self) -> int:
        """Descriptors for sockets and data files."""
        return self.descriptors - constants.FILE_DESCRIPTORS


USUAL_CALLERS = CallerLimits()  # the default, for daemons whose settings state no limits
