"""The heartbeats that are not answered yet, and the orders that their answers contain."""

from typing import Any, NamedTuple

# The order to start a run, as sent to a worker: (reference, run, spec of the job, saved progress).
StartOrder = tuple[str, int, str, str]


class DeferredHeartbeat(NamedTuple):
    """The newest heartbeat of a worker, not answered yet."""

    address: str  # of the daemon that forwarded it
    token: Any  # identifies the request in the answer
    received_at: float  # by the leader's clock, seconds


class IdleHeartbeat(NamedTuple):
    """A heartbeat of an idle worker, whose answer is deferred for IDLE_HEARTBEAT_DEFERRAL seconds."""

    received_at: float  # by the leader's clock, seconds
    identity: str  # of the worker
