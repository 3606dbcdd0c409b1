"""A snapshot on its way from the leader to one follower."""

from typing import NamedTuple


class Snapshot(NamedTuple):
    """The base that stands for the log up to `index`."""

    index: int
    term: int
    membership: list


class Transfer:
    """Invariants: the snapshot stays the same until all of it has arrived, whatever newer one
    its leader makes meanwhile; whole is None until the follower said what it holds."""

    def __init__(self, snapshot):
        self.snapshot = snapshot
        self.stored_segment = None  # newest segment that the follower holds
        self.payload = None
        self.offset = -1  # -1 asks what is held
        self.awaited = None  # the offset that the answer to the newest piece will tell
        self.in_flight = False

    def repeats(self, offset, stored_segment):
        """Whether an answer is one to an earlier piece, or to one that came twice: acted on, it
        would make every further piece be sent twice."""
        if self.payload is None:
            return False
        if offset < 0:  # else a new life of the follower asks for all anew, perhaps holding less
            return self.offset == 0 and stored_segment == self.stored_segment
        early = 0 < offset <= self.offset or offset == self.offset  # 0 again: it lost what it had
        return self.in_flight and early and offset != self.awaited

    def chunk(self, most):
        """The next piece, of at most so many bytes."""
        return b"" if self.offset < 0 else self.payload[self.offset : self.offset + most]
