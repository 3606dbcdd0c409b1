"""How much memory and disk a daemon may take, and what follows for its log."""

from typing import NamedTuple

from . import constants


class Limits(NamedTuple):
    """Bytes of memory and of disk. Invariants: the log and the tail behind every snapshot base fit
    many times into either; tail <= laggard <= since_base <= log.
    """

    memory: int = constants.MEMORY
    disk: int = constants.DISK

    @property
    def log(self) -> int:
        """Bytes of entries held, committed or not; above it callers' operations are deferred."""
        return max(
            constants.MIN_LOG_BYTES,
            min(self.memory // constants.LOG_PART_OF_MEMORY, self.disk // constants.LOG_PART_OF_DISK),
        )

    @property
    def image(self) -> int:
        """Bytes of an image of the cluster state, from which on operations that enlarge it are refused."""
        return max(
            constants.MIN_IMAGE_BYTES,
            min(self.memory // constants.IMAGE_PART_OF_MEMORY, self.disk // constants.IMAGE_PART_OF_DISK),
        )

    @property
    def since_base(self) -> int:
        """Bytes of entries applied since the last snapshot base that make a new one due."""
        return self.log // 4

    @property
    def laggard(self) -> int:
        """Bytes of entries kept behind a snapshot base for a follower that still needs them."""
        return self.log // 4

    @property
    def tail(self) -> int:
        """Bytes of entries kept behind a snapshot base in any case."""
        return self.log // 8

    @property
    def link(self) -> int:
        """Bytes of frames that wait for one destination on one connection."""
        return max(constants.MIN_LINK_BYTES, self.memory // constants.LINK_PART)


USUAL = Limits()  # where the settings say nothing
