"""What a leader keeps of each replica that it sends the log to."""

from .flow_control import Flow
from .snapshot_transfer import Transfer


class Follower:
    """What a leader knows of one member or learner.

    Invariants: match <= the leader's last index and is durable there; next > match.
    """

    def __init__(self, last_index: int, now: float) -> None:
        self.match_index = 0
        self.next_index = last_index + 1
        self.probing = True
        self.flow = Flow()
        self.heard_at = now  # seconds of the steady clock
        self.answered_heartbeat = 0  # the number of the newest heartbeat that it answered
        self.transfer: Transfer | None = None  # the snapshot that it is being sent
        self.denials = 0  # answers in a row that lack what was acknowledged
        self.lost_entries = False  # whether it lacks what it acknowledged in this leader's time

    def needed_from(self) -> int:
        """The first entry that it will need, after the snapshot that it is being sent."""
        return (self.transfer.snapshot.last_index if self.transfer else self.match_index) + 1
