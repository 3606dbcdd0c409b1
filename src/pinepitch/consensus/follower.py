"""The leader's record of a replica that it sends the log to."""

from .flow_control import Flow
from .snapshot_transfer import Transfer


class Follower:
    """Replication state of one member or learner.

    Invariants: match_index <= the leader's last index, and the follower has its log durable up to there;
    next_index > match_index.
    """

    def __init__(self, last_index: int, now: float) -> None:
        self.match_index = 0
        self.next_index = last_index + 1
        self.probing = True  # whether the index where the logs agree is still being searched for
        self.flow = Flow()
        self.heard_at = now  # seconds of the steady clock
        self.answered_heartbeat = 0  # number of the newest heartbeat that it answered
        self.transfer: Transfer | None = None  # the snapshot that is being sent
        self.denials = 0  # consecutive rejections of entries that it had acknowledged
        self.lost_entries = False  # whether it lost entries that it acknowledged to this leader

    def needed_from(self) -> int:
        """The index of the first entry that it needs after the snapshot being sent, if any."""
        return (self.transfer.snapshot.last_index if self.transfer else self.match_index) + 1
