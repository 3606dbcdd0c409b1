"""A task, which is one step of a pushed job, and its standing in the cluster state.

Times are seconds of the cluster's clock. The order of the fields is part of the stored format.
"""

from typing import Any, NamedTuple


class Task(NamedTuple):
    """A task as the client requested it.

    Invariants: units >= 1; after names tasks of the same job, without a cycle; no member of a gang
    depends on another member; attempts >= 1, or 0 for feeds, whose attempts have no bound.
    """

    name: str
    units: int  # of a worker's capacity that it uses
    labels: tuple[str, ...]  # that the worker must have
    after: tuple[str, ...]  # names of its predecessors
    not_before: float  # earliest start
    attempts: int  # number of failed attempts at which the task fails
    limit: float  # seconds an attempt may run; 0 for no limit
    gang: str  # name of the gang that it starts together with, or ""
    work: Any  # passed to the worker unchanged
    requested_attempts: int = 0  # as the client requested; 0 leaves it to the queue's settings


class Standing(NamedTuple):
    """The current state of a task and its attempts.

    Invariants: state is one of waiting, placed, done, failed, cancelled. While it is placed, worker,
    incarnation, front_daemon, send_by and charges describe the current attempt, whose units and
    credits stay reserved until its end is proven. attempt never decreases. failures <= the allowed
    attempts of the task.

    yields_to is the reference of the task that preempts it, or "move" (it restarts on a better
    worker), "limit" (it exceeded its time limit), "gang" (another member did not start), "cancel" or
    "failing" (its job is cancelled or has failed). Each element of past is (attempt, worker, front
    daemon, how it ended, when placed, when ended, placed_under, charges).
    """

    state: str = "waiting"
    attempt: int = 0  # number of the newest attempt
    failures: int = 0  # attempts that count as failed
    earliest: float = 0.0  # earliest time of the next attempt
    worker: str = ""
    incarnation: str = ""  # of the worker
    front_daemon: str = ""  # the front daemon that delivers the start order
    send_by: float = 0.0  # until when the front daemon may send the start order
    yields_to: str = ""  # the reason to stop once it has been asked to, else ""
    charges: tuple[Any, ...] = ()  # ((queue, credits), ...) that queues lend to it
    since: float = 0.0  # when it entered this state
    took: float = 0.0  # seconds from placement to proven end of the last ended attempt
    lost: float = 0.0  # total seconds of all failed attempts
    address: str = ""  # of the worker, as known at placement
    placed_under: tuple[Any, ...] = ()  # (placing epoch, queue configuration version) at placement
    past: tuple[Any, ...] = ()  # the newest ended attempts


FINAL = ("done", "failed", "cancelled")  # states that a task never leaves


def reference(job: str, name: str) -> str:
    """The reference that identifies a task outside its job."""
    return f"{job}/{name}"


def unit_of(task: Task) -> str:
    """The name of a task's start unit: the task itself, or its gang."""
    return "/" + task.gang if task.gang else task.name
