"""The operations of the log, one type per operation.

On the wire and on disk an operation is an array: its name, followed by the fields of its type in
order. registry.py maps the names to the types. Times are seconds of the cluster's clock. A field
that was added to an existing operation has a default, so that older entries still decode.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

Charge = tuple[str, int]  # (queue, credits that it lends)
TaskEnd = tuple[str, int, str]  # (task reference, attempt, how it ended)
YieldOrder = tuple[str, int, str]  # (task reference, attempt, reason as in Standing.yields_to)


class ConsensusEntry(NamedTuple):
    """An entry that only consensus uses; it does not change the cluster state."""

    content: tuple[Any, ...]


class AcceptJob(NamedTuple):
    """A client submits a pushed job."""

    key: str  # the client's idempotency key; there is one job per key
    digest: str  # of the document; it shows whether a key is reused with another document
    document: dict[str, Any]  # as returned by model.pushed_job.checked()
    unplaceable: str = ""  # why no worker known to the leader could run the job, or ''


class CancelJob(NamedTuple):
    """A client cancels a pushed job."""

    identity: str


class TakeRole(NamedTuple):
    """A control daemon becomes the owner of a singleton role."""

    role: str
    owner: str  # identity of the control daemon


class PlacementItem(NamedTuple):
    """The placement of one task on one worker."""

    reference: str
    worker: str
    zone: str
    capacity: int  # total units of the worker
    incarnation: str  # of the worker
    front_daemon: str  # the front daemon that delivers the start order
    charges: Sequence[Charge]  # their credits add up to the task's units
    address: str  # of the worker


class PlaceTasks(NamedTuple):
    """The leader places tasks."""

    epoch: int  # of the placing role
    version: int  # of the queue configuration that the leader used
    items: Sequence[Sequence[Any]]  # the fields of one PlacementItem each


class EndAttempts(NamedTuple):
    """Attempts are proven to have ended.

    Each ended as done, failed, killed, refused, never (it did not begin) or lost.
    """

    items: Sequence[TaskEnd]


class YieldTasks(NamedTuple):
    """The leader asks running tasks to stop so that others can run."""

    epoch: int  # of the placing role
    items: Sequence[YieldOrder]


class DrainWorker(NamedTuple):
    """An operator closes a worker to new work, or opens it again."""

    worker: str
    closed: bool  # False opens it


class EmptyZone(NamedTuple):
    """An operator closes a zone to new work, or opens it again."""

    zone: str
    emptied: bool  # False opens it


class WithdrawWorker(NamedTuple):
    """An operator gives notice that a worker will be gone for good from a given time on."""

    worker: str
    due: float  # the time from which it is gone


class WorkerGone(NamedTuple):
    """A withdrawal is due: the worker's reservations are released."""

    worker: str


class ChangeConfiguration(NamedTuple):
    """An operator changes the queue configuration."""

    token: str  # identifies the change, so that it is applied only once
    base: int | None  # the version it builds on; None accepts any
    mode: str  # "whole" for a complete configuration, "merge" for a JSON merge patch
    document: dict[str, Any]
    author: str
    reason: str


class CreateDraft(NamedTuple):
    """An operator submits a change that is to be rehearsed before it is approved."""

    token: str  # as in ChangeConfiguration
    base: int
    patch: dict[str, Any]
    author: str
    reason: str


class RehearseDraft(NamedTuple):
    """An operator asks the owner of the rehearsal role to measure a draft."""

    identity: str
    worker_capacities: list[Any]  # capacities of the workers that the rehearsal simulates


class RecordMeasurement(NamedTuple):
    """The owner of the rehearsal role reports the result of a rehearsal."""

    epoch: int  # of the rehearsal role
    identity: str
    request_number: int  # the rehearsal request for this draft that this answers
    measurement: dict[str, Any]


class ApproveDraft(NamedTuple):
    """An operator activates a measured draft."""

    token: str  # as in ChangeConfiguration
    identity: str
    author: str
    reason: str


class DropDraft(NamedTuple):
    """An operator drops a draft."""

    identity: str


class PauseApprovals(NamedTuple):
    """An alert begins or ceases to block approvals of drafts."""

    epoch: int  # of the placing role
    alert: str
    reason: str | None  # None once the alert no longer blocks approvals


class RaiseLevel(NamedTuple):
    """All members know the operations up to this level."""

    level: int


class AcceptLeasedJob(NamedTuple):
    """A client submits a leased job."""

    identity: str
    queue: str
    document: tuple[Any, ...]  # as returned by scheduling.leased_job.checked()
    tenant: str | None = None  # name of the submitting tenant, "" for none; added in level 4


class CancelLeasedJob(NamedTuple):
    """A client cancels a leased job."""

    identity: str


class CancelUnknownJobs(NamedTuple):
    """Clients cancel jobs that the leader does not know; added in level 5."""

    items: Sequence[Any]  # the fields of a scheduling.tombstones.Tombstone each


class AssignRuns(NamedTuple):
    """The leader assigns runs of leased jobs to workers."""

    epoch: int  # of the placing role
    items: Sequence[Any]  # (job, time, number, ((index, worker), ...)) each


class StopRuns(NamedTuple):
    """The leader asks runs of leased jobs to stop."""

    epoch: int  # of the placing role
    items: Sequence[Any]  # (worker, reference, run, why) each


class EndRuns(NamedTuple):
    """Runs of leased jobs are proven to have ended."""

    items: Sequence[Any]  # (worker, reference, run, how, saved, heard) each


class ConfigureRoutes(NamedTuple):
    """An operator submits a complete configuration of the routes."""

    base: int
    document: dict[str, Any]
    digest: str
    with_tenants: bool = False  # whether its tenants are checked; added in level 4


class AmendRoutes(NamedTuple):
    """An operator changes individual routes."""

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
    confirmed: int | None = None  # log index up to which the operator has read; added in level 3
