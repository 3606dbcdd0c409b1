"""Writes of a replica that are under way."""


class PendingSave:
    """A write that is not durable yet. `last_index` falls when entries that it holds are dropped."""

    __slots__ = ("begun_at", "last_index", "sequence")

    def __init__(self, sequence: int, last_index: int, begun_at: float) -> None:
        self.sequence = sequence
        self.last_index = last_index  # the newest entry that is durable once it is
        self.begun_at = begun_at  # seconds of the steady clock

    def copy(self) -> "PendingSave":
        """One with the same values."""
        return PendingSave(self.sequence, self.last_index, self.begun_at)
