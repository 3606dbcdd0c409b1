"""Which control daemon a worker sends its heartbeats to.

The leader decides on every heartbeat, whichever daemon receives it. In a large fleet the followers receive
them and forward them, as the leader's processor time limits the fleet and HTTP is most of what receiving a
heartbeat costs. In a small fleet the leader receives them itself, which saves the way through a follower.
"""

import zlib
from collections.abc import Sequence
from typing import NamedTuple

from ..common import constants
from . import heartbeat_intervals
from .daemon_interface import Daemon
from .worker import Worker


class Follower(NamedTuple):
    """A live follower that may receive heartbeats."""

    zone: str
    address: str


class HeartbeatAddresses:
    """Invariants: a worker is never sent to a daemon that the leader does not know to be live; the leader
    sends a worker that has reached it elsewhere at most once in HINT_EVERY seconds, so that a worker that
    can't reach a follower is served here.
    """

    def __init__(self, core: Daemon) -> None:
        self.core = core
        self.redirected_at: dict[str, float] = {}  # worker -> when this leader last sent it to a follower
        self.followers: Sequence[Follower] = ()
        self.followers_read_at = -1e9  # seconds

    def address_for(self, worker: Worker, received_by: str, worker_count: int, now: float) -> str:
        """The address for a worker's next heartbeats. `received_by` is the daemon that received the newest
        one, and `worker_count` the size of the fleet.
        """
        if not heartbeat_intervals.is_large_fleet(worker_count):
            return self.core.address
        suitable = self._suitable_followers(worker, now)
        if received_by in suitable:
            return received_by
        if not suitable or self._was_redirected(worker, received_by, now):
            return self.core.address
        return suitable[zlib.crc32(worker.identity.encode()) % len(suitable)]

    def forget(self, identity: str) -> None:
        """Drops what is known of a worker that is gone."""
        self.redirected_at.pop(identity, None)

    def _suitable_followers(self, worker: Worker, now: float) -> list[str]:
        """The addresses of the followers in a worker's zone, or of all if there is none."""
        if now - self.followers_read_at >= constants.GREET_EVERY:
            self.followers, self.followers_read_at = self.core.live_followers(), now
        near = [follower.address for follower in self.followers if follower.zone == worker.zone]
        return near or [follower.address for follower in self.followers]

    def _was_redirected(self, worker: Worker, received_by: str, now: float) -> bool:
        """Whether this leader received the heartbeat itself although it has sent the worker to a follower a
        short while ago. If not, that is recorded now.
        """
        if received_by != self.core.address:
            return False
        if now - self.redirected_at.get(worker.identity, -1e9) < constants.HINT_EVERY:
            return True
        self.redirected_at[worker.identity] = now
        return False
