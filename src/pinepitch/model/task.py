"""A task: one step of a pushed job, and its standing in the cluster state.

Times are seconds of the cluster's clock. The order of the fields is that of stored data.
"""

from typing import Any, NamedTuple


class Task(NamedTuple):
    """What a client asked for.

    Invariants: units >= 1; after names tasks of the same job without a cycle; members of one
    gang wait for no other member of it; attempts >= 1 (feeds: no bound).
    """

    name: str
    units: int  # of a worker's capacity
    labels: tuple[str, ...]  # that the worker must bear
    after: tuple[str, ...]  # predecessors
    not_before: float
    attempts: int  # allowed, failures included
    limit: float  # seconds an attempt may run; 0 for no limit
    gang: str  # "" or what starts together with it
    work: Any  # handed to the worker as it is
    asked: int = 0  # attempts the client asked for; 0 leaves it to the queue's settings


class Standing(NamedTuple):
    """Where a task stands.

    Invariants: state is one of waiting, placed, done, failed, cancelled; while placed, worker,
    incarnation, front_daemon, send_by and charges are of the one attempt under way, and its
    units and credits are reserved until its end is proven; attempt only grows; failures <= the
    attempts allowed.

    yields_to is the reference of the task that it makes place for, or "move" (to a better
    place), "limit" (it has run too long), "gang" (another member did not start), "cancel" or
    "failing" (its job is cancelled or has failed). Each of past is (attempt, worker, front
    daemon, how it ended, when placed, when ended, placed_under, charges).
    """

    state: str = "waiting"
    attempt: int = 0
    failures: int = 0
    earliest: float = 0.0  # may not start again before
    worker: str = ""
    incarnation: str = ""  # of the worker
    front_daemon: str = ""  # that delivers the start order
    send_by: float = 0.0  # until when it may deliver it
    yields_to: str = ""  # while it is to stop: for whom or why
    charges: tuple[Any, ...] = ()  # ((queue, credits), ...) that lent for it
    since: float = 0.0  # when it came into this state
    took: float = 0.0  # seconds from placing to proven end of the newest attempt
    lost: float = 0.0  # seconds of all attempts that failed
    address: str = ""  # of the worker as it was known when placed
    placed_under: tuple[Any, ...] = ()  # (epoch, version of the queues) under which it was placed
    past: tuple[Any, ...] = ()  # the newest attempts


FINAL = ("done", "failed", "cancelled")  # states of a task that stay


def reference(job: str, name: str) -> str:
    """How a task is named outside its job."""
    return f"{job}/{name}"


def unit_of(task: Task) -> str:
    """The start unit of a task: itself, or its whole gang."""
    return "/" + task.gang if task.gang else task.name
