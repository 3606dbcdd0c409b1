"""Saves of a replica that are in progress."""


class PendingSave:
    """A save that is not durable yet. `last_index` decreases if entries of the save are dropped."""

    __slots__ = ("begun_at", "last_index", "sequence")

    def __init__(self, sequence: int, last_index: int, begun_at: float) -> None:
        self.sequence = sequence
        self.last_index = last_index  # newest entry that is durable once this save is
        self.begun_at = begun_at  # seconds of the steady clock

    def copy(self) -> "PendingSave":
        """A copy with the same values."""
        return PendingSave(self.sequence, self.last_index, self.begun_at)
