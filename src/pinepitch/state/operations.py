"""The operations of the log, one type each.

On the wire and on disk an operation is an array: its name and then the fields of its type, in
their order. The registry of names is in registry.py. Times are seconds of the cluster's clock.
An operation that grew a field since it was first written has a default for it, so that older
entries still decode.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

Charge = tuple[str, int]  # a queue, and the credits that it lent
TaskEnd = tuple[str, int, str]  # a task's reference, the attempt, and how it ended
YieldOrder = tuple[str, int, str]  # a task's reference, the attempt, and for whom or what it is to stop


class ConsensusEntry(NamedTuple):
    """An entry that concerns consensus alone and leaves the state as it is."""

    content: tuple[Any, ...]


class AcceptJob(NamedTuple):
    """A client submits a pushed job."""

    key: str  # the client's token; one job a key
    digest: str  # of the document, to tell two documents under one key apart
    document: dict[str, Any]  # as model.pushed_job.checked() gives it
    unplaceable: str = ""  # why no worker known to the leader could take it


class CancelJob(NamedTuple):
    """A client cancels a pushed job."""

    identity: str


class TakeRole(NamedTuple):
    """A control daemon becomes the holder of a singleton role."""

    role: str
    role_holder: str


class PlacementItem(NamedTuple):
    """One task to be placed on one worker."""

    reference: str
    worker: str
    zone: str
    capacity: int  # units that the worker has in all
    incarnation: str  # of the worker
    front_daemon: str  # that is to deliver the start order
    charges: Sequence[Charge]  # add up to the task's units
    address: str  # of the worker


class PlaceTasks(NamedTuple):
    """The leader places tasks, under the epoch of the placing role and a version of the queues."""

    epoch: int
    version: int
    items: Sequence[Sequence[Any]]  # the fields of a PlacementItem each


class EndAttempts(NamedTuple):
    """Attempts have provenly ended: done, failed, killed, refused, never (begun) or lost."""

    items: Sequence[TaskEnd]


class YieldTasks(NamedTuple):
    """The leader wants running tasks to stop, to make place for others."""

    epoch: int
    items: Sequence[YieldOrder]


class DrainWorker(NamedTuple):
    """An operator closes a worker to new work, or opens it again."""

    worker: str
    closed: bool


class EmptyZone(NamedTuple):
    """An operator closes a zone to new work, or opens it again."""

    zone: str
    emptied: bool


class WithdrawWorker(NamedTuple):
    """An operator's word that a worker will be gone for good at a time."""

    worker: str
    due: float


class WorkerGone(NamedTuple):
    """The time of a withdrawal has come: what was reserved there is free."""

    worker: str


class ChangeConfiguration(NamedTuple):
    """An operator changes the queue configuration."""

    mark: str  # the change's watermark, by which it is made once
    base: int | None  # the version it builds on; None takes any
    manner: str  # "whole", or "merge" for a JSON merge patch
    document: dict[str, Any]
    who: str
    why: str


class CreateDraft(NamedTuple):
    """An operator hands in a change that is to be measured before it is made."""

    mark: str
    base: int
    patch: dict[str, Any]
    who: str
    why: str


class RehearseDraft(NamedTuple):
    """An operator asks the holder of the rehearsal role to measure a draft."""

    identity: str
    worker_capacities: list[Any]  # of the workers to measure on


class RecordMeasurement(NamedTuple):
    """The result of a rehearsal, from the holder of the role."""

    epoch: int
    identity: str
    asked: int  # which request for this draft it answers
    measure: dict[str, Any]


class ApproveDraft(NamedTuple):
    """An operator puts a measured draft in force."""

    mark: str
    identity: str
    who: str
    why: str


class DropDraft(NamedTuple):
    """An operator drops a draft."""

    identity: str


class PauseApprovals(NamedTuple):
    """An alert begins to hold approvals back, or no longer does."""

    epoch: int
    alert: str
    why: str | None  # None: no longer


class RaiseLevel(NamedTuple):
    """All members know the operations up to a level."""

    level: int


class AcceptLeasedJob(NamedTuple):
    """A client submits a leased job."""

    identity: str
    queue: str
    document: tuple[Any, ...]  # as scheduling.leased_job.checked() made it
    tenant: str | None = None  # name of the one that hands it in, "" for none; since level 4


class CancelLeasedJob(NamedTuple):
    """A client cancels a leased job."""

    identity: str


class AssignRuns(NamedTuple):
    """The leader assigns runs of leased jobs, under the epoch of the placing role."""

    epoch: int
    items: Sequence[Any]  # (job, time, number, ((index, worker), ...)) each


class StopRuns(NamedTuple):
    """The leader wants runs of leased jobs to end."""

    epoch: int
    items: Sequence[Any]  # (worker, reference, run, why) each


class EndRuns(NamedTuple):
    """Runs of leased jobs have provenly ended."""

    items: Sequence[Any]  # (worker, reference, run, how, saved, heard) each


class ConfigureRoutes(NamedTuple):
    """An operator hands in a whole configuration of the routes."""

    base: int
    document: dict[str, Any]
    digest: str
    with_tenants: bool = False  # whether its tenants are checked; since level 4


class AmendRoutes(NamedTuple):
    """An operator changes single routes."""

    base: int
    version: int
    upserts: dict[str, Any]
    removes: dict[str, Any]
    digest: str
    with_tenants: bool = False  # as in ConfigureRoutes


class EvacuateZone(NamedTuple):
    """An operator begins or ends the evacuation of a zone."""

    zone: str
    begun: bool
    confirmed: int | None = None  # index of the log up to which the operator has read; since level 3
