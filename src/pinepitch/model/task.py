"""A task: one step of a ticket, and its standing in the record."""

from typing import NamedTuple


class Task(NamedTuple):
    """What a caller asked for.

    Invariants: units >= 1; after names tasks of the same ticket without a cycle; members
    of one gang wait for no other member of it; attempts >= 1 (feeds: no bound)."""

    name: str
    units: int
    labels: tuple
    after: tuple
    not_before: float
    attempts: int
    limit: float
    gang: str
    work: object
    asked: int = 0  # attempts the caller asked for; 0 leaves it to the row


class Standing(NamedTuple):
    """Where a task stands.

    Invariants: state is one of waiting, placed, done, failed, cancelled; while placed,
    minion, incarnation, verge, send_by and charges are of the one attempt under way, and
    its room and credits are reserved until its end is proven; attempt only grows;
    failures <= the attempts allowed."""

    state: str = "waiting"
    attempt: int = 0
    failures: int = 0
    earliest: float = 0.0
    worker: str = ""
    incarnation: str = ""
    front_daemon: str = ""
    send_by: float = 0.0
    yields_to: str = (
        ""  # a task reference, "move", "limit", "gang", "cancel" or "failing", while it is to stop
    )
    charges: tuple = ()  # ((queue, credits), ...) that lent for it
    since: float = 0.0
    took: float = 0.0  # seconds from placing to proven end of the newest attempt
    lost: float = 0.0  # seconds of all attempts that failed
    address: str = ""  # of the minion as it was known when placed
    placed_under: tuple = ()  # (epoch, setup version) under which it was placed
    past: tuple = ()  # the newest attempts: (attempt, minion, verge, how, placed, ended, ground, charges)


FINAL = ("done", "failed", "cancelled")


def reference(job, name):
    """How a task is named outside its ticket."""
    return f"{job}/{name}"


def unit_of(task):
    """What a task starts with: itself, or its whole gang."""
    return "/" + task.gang if task.gang else task.name
